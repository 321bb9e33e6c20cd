#include "membership/internal/TableSync.h"

#include "membership/GossipCodec.h"
#include "membership/TableDifferences.h"

#include <algorithm>

namespace gwt::internal {

namespace {

/// \brief One comparison in this many goes to a seed or a dead member, to heal partitions.
constexpr int syncsPerOutsiderSync = 4;
constexpr std::size_t joinFanout = 2;

} // namespace

TableSync::TableSync(const GossipOptions &options, const Member &self, MemberTable &table,
                     GossipSender &sender)
    : m_options(options)
    , m_self(self)
    , m_table(table)
    , m_sender(sender)
{ }

void TableSync::setSeeds(std::vector<Endpoint> seeds)
{
    std::erase(seeds, m_self.gossipAddress);
    m_seeds = std::move(seeds);
}

void TableSync::tick(TimePoint now, RandomEngine &random, GossipOutputs &outputs)
{
    if (now < m_nextSync)
        return;
    m_table.dropTombstones(now - m_options.tombstoneTime);
    if (m_isSynced)
        compare(random, outputs);
    else
        join(random, outputs);
    m_nextSync = now + (m_isSynced ? m_options.syncInterval : m_options.joinInterval);
}

void TableSync::join(RandomEngine &random, GossipOutputs &outputs)
{
    for (std::size_t i = 0; i < joinFanout; ++i) {
        if (const auto seed = randomSeed(random))
            sendSync(*seed, m_options.maxJoinReplies, outputs);
    }
}

void TableSync::compare(RandomEngine &random, GossipOutputs &outputs)
{
    const Member *receiver = m_sender.randomMember(random);
    const bool isOutsiderDue = randomIndex(syncsPerOutsiderSync, random) == 0;
    if (receiver && !isOutsiderDue) {
        sendSync(receiver->gossipAddress, m_options.maxSyncReplies, outputs);
        return;
    }
    const std::vector<std::string> deadIds = m_table.deadIds();
    const std::optional<Endpoint> seed = randomSeed(random);
    if (!deadIds.empty() && (!seed || randomIndex(2, random) == 0)) {
        const Member *deadMember = m_table.find(deadIds[randomIndex(deadIds.size(), random)]);
        sendSync(deadMember->gossipAddress, m_options.maxSyncReplies, outputs);
    } else if (seed) {
        sendSync(*seed, m_options.maxSyncReplies, outputs);
    }
}

void TableSync::onSync(const Endpoint &source, const GossipMessage &message, RandomEngine &random,
                       GossipOutputs &outputs)
{
    const std::uint32_t maxDatagrams = std::min(message.replyLimit, m_options.maxJoinReplies);
    sendDifferences(source, message, maxDatagrams, random, outputs);
    GossipMessage answer = m_sender.makeMessage(GossipKind::SyncBack);
    const MemberTable::Digests digests = m_table.digests();
    answer.digests.assign(digests.begin(), digests.end());
    m_sender.piggyback(answer, message.from);
    m_sender.send(source, std::move(answer), outputs);
}

void TableSync::onSyncBack(const Endpoint &source, const GossipMessage &message,
                           RandomEngine &random, GossipOutputs &outputs)
{
    const std::size_t differing = differingBuckets(m_table, message.digests).size();
    m_isSynced = m_isSynced || differing <= digestBucketCount / 4;
    sendDifferences(source, message, m_options.maxSyncReplies, random, outputs);
}

void TableSync::sendSync(const Endpoint &to, std::uint32_t replyLimit, GossipOutputs &outputs)
{
    GossipMessage message = m_sender.makeMessage(GossipKind::Sync);
    const MemberTable::Digests digests = m_table.digests();
    message.digests.assign(digests.begin(), digests.end());
    message.replyLimit = replyLimit;
    message.updates.push_back(m_self);
    m_sender.send(to, std::move(message), outputs);
}

void TableSync::sendDifferences(const Endpoint &to, const GossipMessage &message,
                                std::uint32_t maxDatagrams, RandomEngine &random,
                                GossipOutputs &outputs)
{
    GossipMessage reply = m_sender.makeMessage(GossipKind::Updates);
    const std::size_t maxUpdateBytes = m_options.maxDatagramBytes - maxHeaderSize(reply);
    std::vector<MemberList> groups = membersInGroups(
        m_table, differingBuckets(m_table, message.digests), maxUpdateBytes, maxDatagrams, random);
    for (MemberList &group : groups) {
        reply.updates = std::move(group);
        m_sender.send(to, reply, outputs);
    }
}

std::optional<Endpoint> TableSync::randomSeed(RandomEngine &random) const
{
    if (m_seeds.empty())
        return std::nullopt;
    return m_seeds[randomIndex(m_seeds.size(), random)];
}

} // namespace gwt::internal
