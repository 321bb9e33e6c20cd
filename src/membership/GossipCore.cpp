#include "membership/GossipCore.h"

#include <cmath>
#include <map>

namespace gwt {

namespace {

/// \brief Least increase of an incarnation by a restart, which sets it from a clock in ms.
constexpr std::uint64_t restartIncarnationGap = 1000;
constexpr std::size_t departFanout = 6;

} // namespace

GossipCore::GossipCore(Member self, GossipOptions options)
    : m_options(options)
    , m_self(std::move(self))
    , m_sender(m_options, m_self, m_table)
    , m_prober(m_options, m_table, m_sender, m_counts)
    , m_sync(m_options, m_self, m_table, m_sender)
{
    m_table.apply(m_self, {}, {});
    m_sender.queueUpdate(m_self.id);
}

GossipOutputs GossipCore::tick(TimePoint now, RandomEngine &random)
{
    GossipOutputs outputs;
    if (m_hasDeparted)
        return outputs;
    detectPause(now);
    expire(now);
    if (now >= m_nextProbe) {
        suspectUnanswered(now);
        m_prober.startInterval(now, random, outputs);
        m_nextProbe = now + m_options.probeInterval;
    }
    m_prober.sendIndirectProbes(now, random, outputs);
    if (now >= m_nextGossip) {
        m_sender.sendPendingUpdates(random, outputs);
        m_nextGossip = now + m_options.gossipInterval;
    }
    m_sync.tick(now, random, outputs);
    return outputs;
}

GossipOutputs GossipCore::receive(const Endpoint &source, const GossipMessage &message,
                                  TimePoint now, RandomEngine &random)
{
    static const std::map<GossipKind, Handler> handlers = {
        {GossipKind::Ping, &GossipCore::onPing},
        {GossipKind::Ack, &GossipCore::onAck},
        {GossipKind::PingRequest, &GossipCore::onPingRequest},
        {GossipKind::Updates, &GossipCore::onUpdates},
        {GossipKind::Sync, &GossipCore::onSync},
        {GossipKind::SyncBack, &GossipCore::onSyncBack},
    };
    GossipOutputs outputs;
    const auto handler = handlers.find(message.kind);
    if (m_hasDeparted || message.from == m_self.id || handler == handlers.end())
        return outputs;
    for (const Member &update : message.updates)
        apply(update, now);
    (this->*handler->second)(source, message, now, random, outputs);
    return outputs;
}

void GossipCore::onPing(const Endpoint &source, const GossipMessage &message, TimePoint,
                        RandomEngine &, GossipOutputs &outputs)
{
    m_prober.onPing(source, message, outputs);
}

void GossipCore::onAck(const Endpoint &, const GossipMessage &message, TimePoint, RandomEngine &,
                       GossipOutputs &outputs)
{
    if (const std::optional<std::string> answered = m_prober.onAck(message, outputs))
        m_table.clearLeavingSuspicion(*answered);
}

void GossipCore::onPingRequest(const Endpoint &source, const GossipMessage &message, TimePoint now,
                               RandomEngine &, GossipOutputs &outputs)
{
    m_prober.onPingRequest(source, message, now, outputs);
}

void GossipCore::onUpdates(const Endpoint &, const GossipMessage &, TimePoint, RandomEngine &,
                           GossipOutputs &)
{
    // The updates themselves have been applied.
}

void GossipCore::onSync(const Endpoint &source, const GossipMessage &message, TimePoint,
                        RandomEngine &random, GossipOutputs &outputs)
{
    m_sync.onSync(source, message, random, outputs);
}

void GossipCore::onSyncBack(const Endpoint &source, const GossipMessage &message, TimePoint,
                            RandomEngine &random, GossipOutputs &outputs)
{
    m_sync.onSyncBack(source, message, random, outputs);
}

void GossipCore::detectPause(TimePoint now)
{
    const Duration gap = m_lastTick ? now - *m_lastTick : Duration::zero();
    m_lastTick = now;
    if (gap < m_options.probeInterval)
        return;
    // Answers may be waiting unread in our own socket.
    ++m_counts.pauses;
    m_prober.clearProbes();
    m_table.extendSuspicions(gap + m_options.minSuspicionTime);
}

void GossipCore::suspectUnanswered(TimePoint now)
{
    for (const std::string &id : m_prober.endInterval()) {
        if (!m_table.suspect(id, now + suspicionTime()))
            continue;
        ++m_counts.suspicions;
        recordChange(id);
    }
}

void GossipCore::expire(TimePoint now)
{
    for (const std::string &id : m_table.expireSuspicions(now)) {
        ++m_counts.deaths;
        recordChange(id);
    }
    m_prober.expireRelayedProbes(now);
}

void GossipCore::apply(const Member &update, TimePoint now)
{
    if (update.id == m_self.id) {
        refute(update);
        return;
    }
    const Member *known = m_table.find(update.id);
    const std::uint64_t formerIncarnation = known ? known->incarnation : 0;
    const auto effect = m_table.apply(update, now + suspicionTime(), now);
    if (effect == MemberTable::Effect::None)
        return;
    if (effect == MemberTable::Effect::Died)
        ++m_counts.deaths;
    const bool isSameProcess = update.incarnation < formerIncarnation + restartIncarnationGap;
    if (effect == MemberTable::Effect::Revived && isSameProcess)
        ++m_counts.falseDeaths;
    recordChange(update.id);
}

void GossipCore::refute(const Member &update)
{
    const bool isWrong = update.incarnation > m_self.incarnation
        || (update.incarnation == m_self.incarnation && update.state > m_self.state);
    if (!isWrong)
        return;
    ++m_counts.refutations;
    m_self.incarnation = update.incarnation;
    publishSelf();
}

void GossipCore::publishSelf()
{
    ++m_self.incarnation;
    m_table.apply(m_self, {}, {});
    recordChange(m_self.id);
}

void GossipCore::recordChange(const std::string &id)
{
    ++m_version;
    m_sender.queueUpdate(id);
}

void GossipCore::announceReady(bool isReady)
{
    if (m_self.isReady == isReady)
        return;
    m_self.isReady = isReady;
    publishSelf();
}

void GossipCore::announceGeneration(std::uint64_t generation)
{
    if (m_self.generation == generation)
        return;
    m_self.generation = generation;
    publishSelf();
}

void GossipCore::announceLeaving()
{
    if (m_self.state == MemberState::Leaving)
        return;
    m_self.state = MemberState::Leaving;
    publishSelf();
}

GossipOutputs GossipCore::depart(RandomEngine &random)
{
    GossipOutputs outputs;
    m_self.state = MemberState::Dead;
    publishSelf();
    for (std::size_t i = 0; i < departFanout; ++i) {
        const Member *receiver = m_sender.randomMember(random);
        if (!receiver)
            break;
        GossipMessage message = m_sender.makeMessage(GossipKind::Updates);
        message.updates.push_back(m_self);
        m_sender.send(receiver->gossipAddress, std::move(message), outputs);
    }
    m_hasDeparted = true;
    return outputs;
}

Duration GossipCore::suspicionTime() const
{
    const double members = static_cast<double>(m_table.liveIds().size() + 1);
    const double intervals
        = m_options.suspicionFactor * std::log2(members) - (m_prober.failuresToSuspect() - 1);
    const auto remaining
        = std::chrono::duration_cast<Duration>(m_options.probeInterval * intervals);
    return std::max<Duration>(m_options.minSuspicionTime, remaining);
}

} // namespace gwt
