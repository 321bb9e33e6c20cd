#pragma once

#include "common/Random.h"
#include "gateway/policy/AdmissionControl.h"
#include "gateway/policy/OverdueQueue.h"
#include "gateway/routing/RouteTable.h"
#include "policy/RetryAdvice.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace gwt {

/// \brief Holds the admission control of each shard set and advises refused callers when to retry.
///
/// A shard set is identified by its first shard, or by the route's name if the route is no shard
/// query.
class AdmissionTable
{
public:
    /// \brief Current admission limit of one shard set.
    struct Bound
    {
        std::string firstShard;
        bool isBounded = false;
        double capacity = 0; ///< seconds of shard request time per second
    };

    using Factory = std::function<std::unique_ptr<AdmissionControl>()>;

    /// \brief \a makeControl creates the control of a shard set when it is first used.
    explicit AdmissionTable(Factory makeControl);

    /// \brief Returns true if a query of \a route, with \a rank, may start; a request to one of its
    /// shards now typically takes \a typicalLatency. \a excess is that of the caller's team.
    bool admit(const Route &route, int rank, double excess, Duration typicalLatency, TimePoint now);
    /// \brief True while callers that were refused on the shard set of \a route may still retry.
    bool hasRecentRefusals(const Route &route, TimePoint now) const;
    /// \brief Records that half of the shards of a query of \a route have answered by \a now.
    void recordHalfAnswered(const Route &route, int rank, TimePoint admittedAt, TimePoint now);
    /// \brief Records that the caller of a query of \a route left before half of the shards had
    /// answered.
    void recordAbandoned(const Route &route, int rank, TimePoint admittedAt, TimePoint now);
    /// \brief Records that a query of \a route ended before half of its shards had answered.
    void recordStalled(const Route &route, int rank, TimePoint admittedAt, TimePoint now);

    /// \brief Queue of the queries on the shard set of \a route that have already missed their
    /// target.
    OverdueQueue &overdueQueue(const Route &route) { return m_overdueQueues[shardSetKey(route)]; }

    /// \brief Counts a request of \a route that was refused because of load.
    void recordRefusal(const Route &route, int rank, TimePoint now);
    /// \brief Counts a request of \a route that was served.
    void recordServed(const Route &route, int rank, TimePoint now);
    /// \brief Returns the backoff for a refused caller of \a route that has \a timeLeft.
    ///
    /// It covers the time to serve the recently refused requests, with jitter so that not all
    /// callers return at once.
    Milliseconds retryAfter(const Route &route, int rank, Duration timeLeft, TimePoint now);

    std::vector<Bound> bounds() const;
    /// \brief Removes the state of shard sets and routes that \a routes does not name.
    void retain(const RouteTable &routes);

private:
    struct ShardSet
    {
        std::unique_ptr<AdmissionControl> control;
        bool isBounded = false; ///< state that was logged last
    };

    ShardSet &shardSet(const Route &route);
    AdmissionControl &control(const Route &route) { return *shardSet(route).control; }
    static void logLimitChange(const std::string &firstShard, ShardSet &set);
    static const std::string &shardSetKey(const Route &route);

    const Factory m_makeControl;
    std::map<std::string, ShardSet> m_sets; ///< by first shard
    std::map<std::string, OverdueQueue> m_overdueQueues; ///< by first shard
    std::map<std::string, TimePoint> m_lastRefusal; ///< last refusal by first shard
    /// Time of a shard request by route, as of the last time without a limit.
    std::map<std::string, Duration> m_work;
    RankShareMeter m_served;
    RetryAdvice m_advice;
    RandomEngine m_random;
};

} // namespace gwt
