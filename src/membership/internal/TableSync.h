#pragma once

#include "common/Time.h"
#include "membership/internal/GossipSender.h"

#include <optional>
#include <vector>

namespace gwt::internal {

/// \brief Anti-entropy: compares this member's table with others' and exchanges the differences, to
/// join the fleet, repair lost updates and heal partitions.
class TableSync
{
public:
    /// \brief Keeps references to all four arguments.
    TableSync(const GossipOptions &options, const Member &self, MemberTable &table,
              GossipSender &sender);

    /// \brief Sets the gossip addresses used to join and rejoin the fleet.
    void setSeeds(std::vector<Endpoint> seeds);
    /// \brief Starts a comparison if one is due.
    void tick(TimePoint now, RandomEngine &random, GossipOutputs &outputs);
    void onSync(const Endpoint &source, const GossipMessage &message, RandomEngine &random,
                GossipOutputs &outputs);
    void onSyncBack(const Endpoint &source, const GossipMessage &message, RandomEngine &random,
                    GossipOutputs &outputs);
    /// \brief True once the table has matched another member's in most buckets.
    bool isSynced() const { return m_isSynced; }

private:
    void join(RandomEngine &random, GossipOutputs &outputs);
    void compare(RandomEngine &random, GossipOutputs &outputs);
    void sendSync(const Endpoint &to, std::uint32_t replyLimit, GossipOutputs &outputs);
    void sendDifferences(const Endpoint &to, const GossipMessage &message,
                         std::uint32_t maxDatagrams, RandomEngine &random, GossipOutputs &outputs);
    std::optional<Endpoint> randomSeed(RandomEngine &random) const;

    const GossipOptions &m_options;
    const Member &m_self;
    MemberTable &m_table;
    GossipSender &m_sender;
    std::vector<Endpoint> m_seeds;
    TimePoint m_nextSync;
    bool m_isSynced = false;
};

} // namespace gwt::internal
