#pragma once

#include "common/Assert.h"
#include "relay/AttemptQueue.h"
#include "relay/BackendTarget.h"
#include "relay/HedgePolicy.h"
#include "relay/RelayOptions.h"
#include "relay/ReplicaTable.h"

namespace gwt {

/// \brief Load of a service as reported by a relay.
struct ServiceLoad
{
    Duration queueDelay{0}; ///< expected wait of a new attempt for a slot
    Duration serviceTime{0}; ///< moving mean of the slot time
    int queueLength = 0;
    int liveReplicas = 0;
    int slots = 0; ///< over the live replicas
    int slotsInUse = 0;
};

/// \brief A slot granted to a queued attempt.
struct SlotGrant
{
    QueuedAttempt attempt;
    std::string replica;
    BackendTarget server;
};

/// \brief Decides which attempt of one service is next and which replica gets it. Has no I/O and
/// reads no clock.
class ServiceScheduler
{
public:
    ServiceScheduler(const RelayOptions &options, std::uint64_t seed);

    void push(QueuedAttempt attempt, TimePoint now);
    bool remove(AttemptId id) { return m_queue.remove(id); }
    /// \brief Grants the next slot; none while no queued attempt can get one. Ids of attempts that
    /// expired in the queue are added to \a expired.
    std::optional<SlotGrant> grantNext(TimePoint now, std::vector<AttemptId> &expired);
    /// \brief Frees the slot of a granted attempt; true if its outcome ejected the replica.
    bool finish(const std::string &replica, const std::string &rank, AttemptOutcome outcome,
                Duration elapsed, TimePoint now);
    /// \brief Time in its slot of \a replica after which an attempt is hedged; none if it may not
    /// be.
    ///
    /// A long queue forbids hedges, except for an attempt on a slow replica: it was sent there only
    /// because of the queue, and the hedge keeps its place in the queue for the other replicas.
    std::optional<Duration> hedgeDelay(const std::string &rank, bool isRankHedged,
                                       const std::string &replica, TimePoint now) const;
    ServiceLoad load(TimePoint now) const;
    ReplicaTable &replicas() { return m_replicas; }
    const ReplicaTable &replicas() const { return m_replicas; }
    std::size_t queued() const { return m_queue.size(); }

private:
    void recordWait(Duration wait, TimePoint now);

    AttemptQueue m_queue;
    ReplicaTable m_replicas;
    HedgePolicy m_hedging;
    Duration m_wait{}; ///< moving mean of the measured queueing times
    TimePoint m_lastGrant;
};

} // namespace gwt
