#pragma once

#include "membership/GossipCounts.h"
#include "membership/internal/MemberProber.h"
#include "membership/internal/TableSync.h"

#include <optional>

namespace gwt {

/// \brief Implements the SWIM protocol for one member, without sockets, clock or random source.
///
/// Call tick() every few tens of milliseconds and receive() for each datagram, and send what they
/// return. Not thread-safe. The load of one member stays constant as the fleet grows.
class GossipCore
{
public:
    /// \brief Starts as \a self, alive and not yet joined. Its incarnation must be above those of
    /// former processes of that id.
    GossipCore(Member self, GossipOptions options);
    GossipCore(const GossipCore &) = delete;
    GossipCore &operator=(const GossipCore &) = delete;

    /// \brief Sets the gossip addresses used to join and rejoin the fleet.
    void setSeeds(std::vector<Endpoint> seeds) { m_sync.setSeeds(std::move(seeds)); }

    GossipOutputs tick(TimePoint now, RandomEngine &random);
    /// \brief Processes \a message, received from \a source.
    GossipOutputs receive(const Endpoint &source, const GossipMessage &message, TimePoint now,
                          RandomEngine &random);

    void announceReady(bool isReady);
    void announceGeneration(std::uint64_t generation);
    /// \brief Announces that this member is leaving, which cannot be revoked.
    void announceLeaving();
    /// \brief Announces the death of this member to a few random ones. The core then ignores all
    /// ticks and datagrams, so it does not refute that death.
    GossipOutputs depart(RandomEngine &random);

    const Member &self() const { return m_self; }
    /// \brief All members except dead ones, this one included, sorted by id.
    MemberList members() const { return m_table.members(); }
    /// \brief True once this member's table has matched another's in most buckets.
    bool isSynced() const { return m_sync.isSynced(); }
    /// \brief Increases with each change of members().
    std::uint64_t version() const { return m_version; }
    const GossipCounts &counts() const { return m_counts; }

private:
    using Handler
        = void (GossipCore::*)(const Endpoint &source, const GossipMessage &message, TimePoint now,
                               RandomEngine &random, GossipOutputs &outputs);

    void onPing(const Endpoint &source, const GossipMessage &message, TimePoint now,
                RandomEngine &random, GossipOutputs &outputs);
    void onAck(const Endpoint &source, const GossipMessage &message, TimePoint now,
               RandomEngine &random, GossipOutputs &outputs);
    void onPingRequest(const Endpoint &source, const GossipMessage &message, TimePoint now,
                       RandomEngine &random, GossipOutputs &outputs);
    void onUpdates(const Endpoint &source, const GossipMessage &message, TimePoint now,
                   RandomEngine &random, GossipOutputs &outputs);
    void onSync(const Endpoint &source, const GossipMessage &message, TimePoint now,
                RandomEngine &random, GossipOutputs &outputs);
    void onSyncBack(const Endpoint &source, const GossipMessage &message, TimePoint now,
                    RandomEngine &random, GossipOutputs &outputs);

    void detectPause(TimePoint now);
    void suspectUnanswered(TimePoint now);
    void expire(TimePoint now);
    void apply(const Member &update, TimePoint now);
    void refute(const Member &update);
    void publishSelf();
    void recordChange(const std::string &id);
    Duration suspicionTime() const;

    const GossipOptions m_options;
    Member m_self;
    MemberTable m_table;
    GossipCounts m_counts;
    internal::GossipSender m_sender;
    internal::MemberProber m_prober;
    internal::TableSync m_sync;
    std::uint64_t m_version = 1;
    std::optional<TimePoint> m_lastTick;
    TimePoint m_nextProbe;
    TimePoint m_nextGossip;
    bool m_hasDeparted = false;
};

} // namespace gwt
