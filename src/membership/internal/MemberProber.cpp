#include "membership/internal/MemberProber.h"

#include <algorithm>
#include <set>

namespace gwt::internal {

namespace {

constexpr std::size_t maxSuspectPings = 2;
constexpr std::size_t maxRelayedProbes = 256;

} // namespace

MemberProber::MemberProber(const GossipOptions &options, const MemberTable &table,
                           GossipSender &sender, GossipCounts &counts)
    : m_options(options)
    , m_table(table)
    , m_sender(sender)
    , m_counts(counts)
{ }

std::vector<std::string> MemberProber::endInterval()
{
    std::erase_if(m_probes, [](const Probe &probe) { return probe.isAnswered; });
    std::vector<std::string> unresponsive;
    for (Probe &probe : m_probes) {
        if (++probe.failures >= failuresToSuspect())
            unresponsive.push_back(probe.id);
    }
    std::erase_if(m_probes, [this](const Probe &probe) {
        const Member *target = m_table.find(probe.id);
        return probe.failures >= failuresToSuspect() || !target
            || target->state == MemberState::Dead;
    });
    return unresponsive;
}

void MemberProber::startInterval(TimePoint now, RandomEngine &random, GossipOutputs &outputs)
{
    for (Probe &probe : m_probes)
        sendProbe(probe, now, outputs);
    if (const Member *target = nextTarget(random)) {
        Probe &probe = m_probes.emplace_back();
        probe.id = target->id;
        probe.sequence = m_nextSequence++;
        sendProbe(probe, now, outputs);
    }
    pingSuspects(outputs);
}

const Member *MemberProber::nextTarget(RandomEngine &random)
{
    const std::size_t liveCount = m_table.liveIds().size();
    for (std::size_t i = 0; i <= liveCount; ++i) {
        if (m_probeOrder.empty()) {
            m_probeOrder = m_table.liveIds();
            std::shuffle(m_probeOrder.begin(), m_probeOrder.end(), random);
        }
        const std::string id = std::move(m_probeOrder.back());
        m_probeOrder.pop_back();
        const Member *target = m_table.find(id);
        if (target && target->state != MemberState::Dead && !m_sender.isSelf(id) && !isProbed(id))
            return target;
    }
    return nullptr;
}

bool MemberProber::isProbed(const std::string &id) const
{
    return std::any_of(m_probes.begin(), m_probes.end(),
                       [&](const Probe &probe) { return probe.id == id; });
}

void MemberProber::sendProbe(Probe &probe, TimePoint now, GossipOutputs &outputs)
{
    ++m_counts.probes;
    probe.sentAt = now;
    probe.isIndirect = false;
    ping(*m_table.find(probe.id), probe.sequence, outputs);
}

void MemberProber::sendIndirectProbes(TimePoint now, RandomEngine &random, GossipOutputs &outputs)
{
    for (Probe &probe : m_probes) {
        if (probe.isAnswered || probe.isIndirect || now < probe.sentAt + m_options.probeTimeout)
            continue;
        probe.isIndirect = true;
        ++m_counts.indirectProbes;
        if (m_table.find(probe.id))
            requestIndirectProbes(probe, random, outputs);
    }
}

void MemberProber::requestIndirectProbes(const Probe &probe, RandomEngine &random,
                                         GossipOutputs &outputs)
{
    const Member &target = *m_table.find(probe.id);
    ping(target, probe.sequence, outputs);
    std::set<std::string> helperIds;
    for (std::size_t i = 0; i < m_options.indirectProbes; ++i) {
        const Member *helper = m_sender.randomMember(random);
        if (!helper || helper->id == probe.id || !helperIds.insert(helper->id).second)
            continue;
        GossipMessage request = m_sender.makeMessage(GossipKind::PingRequest);
        request.sequence = probe.sequence;
        request.target = probe.id;
        request.targetAddress = target.gossipAddress;
        m_sender.piggyback(request, helper->id);
        m_sender.send(helper->gossipAddress, std::move(request), outputs);
    }
}

void MemberProber::pingSuspects(GossipOutputs &outputs)
{
    const std::vector<std::string> suspects = m_table.ownSuspicions();
    for (std::size_t i = 0; i < std::min(maxSuspectPings, suspects.size()); ++i)
        ping(*m_table.find(suspects[i]), m_nextSequence++, outputs);
}

void MemberProber::ping(const Member &target, std::uint64_t sequence, GossipOutputs &outputs)
{
    GossipMessage message = m_sender.makeMessage(GossipKind::Ping);
    message.sequence = sequence;
    message.target = target.id;
    m_sender.piggyback(message, target.id);
    m_sender.send(target.gossipAddress, std::move(message), outputs);
}

void MemberProber::expireRelayedProbes(TimePoint now)
{
    std::erase_if(m_relayedProbes, [now](const auto &entry) { return entry.second.expiry <= now; });
}

void MemberProber::onPing(const Endpoint &source, const GossipMessage &message,
                          GossipOutputs &outputs)
{
    // The address may have belonged to another member earlier.
    if (!m_sender.isSelf(message.target))
        return;
    GossipMessage ack = m_sender.makeMessage(GossipKind::Ack);
    ack.sequence = message.sequence;
    m_sender.piggyback(ack, message.from);
    m_sender.send(source, std::move(ack), outputs);
}

std::optional<std::string> MemberProber::onAck(const GossipMessage &message, GossipOutputs &outputs)
{
    const auto relayed = m_relayedProbes.find(message.sequence);
    if (relayed != m_relayedProbes.end()) {
        GossipMessage ack = m_sender.makeMessage(GossipKind::Ack);
        ack.sequence = relayed->second.sequence;
        m_sender.send(relayed->second.requester, std::move(ack), outputs);
        m_relayedProbes.erase(relayed);
        return std::nullopt;
    }
    for (Probe &probe : m_probes) {
        if (probe.sequence != message.sequence)
            continue;
        probe.isAnswered = true;
        return probe.id;
    }
    return std::nullopt;
}

void MemberProber::onPingRequest(const Endpoint &source, const GossipMessage &message,
                                 TimePoint now, GossipOutputs &outputs)
{
    if (m_relayedProbes.size() >= maxRelayedProbes)
        return;
    const std::uint64_t sequence = m_nextSequence++;
    m_relayedProbes[sequence] = {source, message.sequence, now + m_options.probeInterval};
    GossipMessage ping = m_sender.makeMessage(GossipKind::Ping);
    ping.sequence = sequence;
    ping.target = message.target;
    m_sender.piggyback(ping, message.target);
    m_sender.send(message.targetAddress, std::move(ping), outputs);
}

int MemberProber::failuresToSuspect() const
{
    return m_table.liveIds().size() <= m_options.smallFleetSize ? m_options.smallFleetFailures
                                                                : m_options.largeFleetFailures;
}

} // namespace gwt::internal
