#include "membership/internal/TableSync.h"

#include "membership/GossipCodec.h"
#include "membership/TableDifferences.h"

#include <algorithm>

namespace gwt::internal {

namespace {

/// \brief One comparison in this many goes to a seed or a dead member, to heal partitions.
constexpr int outsiderSyncShare = 4;
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
    if (now < m_next)
        return;
    m_table.dropTombstones(now - m_options.tombstoneTime);
    if (m_isSynced)
        compare(random, outputs);
    else
        join(random, outputs);
    m_next = now + (m_isSynced ? m_options.syncInterval : m_options.joinInterval);
}

void TableSync::join(RandomEngine &random, GossipOutputs &outputs)
{
    for (std::size_t i = 0; i < joinFanout; ++i) {
        if (const auto seed = randomSeed(random))
            sendSync(*seed, m_options.joinReplies, outputs);
    }
}

void TableSync::compare(RandomEngine &random, GossipOutputs &outputs)
{
    const Member *receiver = m_sender.randomMember(random);
    const bool isOutsider = randomIndex(outsiderSyncShare, random) == 0;
    if (receiver && !isOutsider) {
        sendSync(receiver->gossipAddress, m_options.syncReplies, outputs);
        return;
    }
    const std::vector<std::string> dead = m_table.dead();
    const std::optional<Endpoint> seed = randomSeed(random);
    if (!dead.empty() && (!seed || randomIndex(2, random) == 0)) {
        const Member *lost = m_table.find(dead[randomIndex(dead.size(), random)]);
        sendSync(lost->gossipAddress, m_options.syncReplies, outputs);
    } else if (seed) {
        sendSync(*seed, m_options.syncReplies, outputs);
    }
}

void TableSync::onSync(const Endpoint &source, const GossipMessage &message, RandomEngine &random,
                       GossipOutputs &outputs)
{
    const std::uint32_t limit = std::min(message.replyLimit, m_options.joinReplies);
    sendDifferences(source, message, limit, random, outputs);
    GossipMessage back = m_sender.make(GossipKind::SyncBack);
    const MemberTable::Digests digests = m_table.digests();
    back.digests.assign(digests.begin(), digests.end());
    m_sender.piggyback(back, message.from);
    m_sender.send(source, std::move(back), outputs);
}

void TableSync::onSyncBack(const Endpoint &source, const GossipMessage &message,
                           RandomEngine &random, GossipOutputs &outputs)
{
    const std::size_t differing = differingBuckets(m_table, message.digests).size();
    m_isSynced = m_isSynced || differing <= digestBucketCount / 4;
    sendDifferences(source, message, m_options.syncReplies, random, outputs);
}

void TableSync::sendSync(const Endpoint &to, std::uint32_t replyLimit, GossipOutputs &outputs)
{
    GossipMessage message = m_sender.make(GossipKind::Sync);
    const MemberTable::Digests digests = m_table.digests();
    message.digests.assign(digests.begin(), digests.end());
    message.replyLimit = replyLimit;
    message.updates.push_back(m_self);
    m_sender.send(to, std::move(message), outputs);
}

void TableSync::sendDifferences(const Endpoint &to, const GossipMessage &message,
                                std::uint32_t limit, RandomEngine &random, GossipOutputs &outputs)
{
    GossipMessage part = m_sender.make(GossipKind::Updates);
    const std::size_t room = m_options.maxDatagramBytes - maxHeaderSize(part);
    std::vector<MemberList> groups
        = membersInGroups(m_table, differingBuckets(m_table, message.digests), room, limit, random);
    for (MemberList &group : groups) {
        part.updates = std::move(group);
        m_sender.send(to, part, outputs);
    }
}

std::optional<Endpoint> TableSync::randomSeed(RandomEngine &random) const
{
    if (m_seeds.empty())
        return std::nullopt;
    return m_seeds[randomIndex(m_seeds.size(), random)];
}

} // namespace gwt::internal
