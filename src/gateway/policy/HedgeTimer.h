#pragma once

#include "common/LatencyHistogram.h"

#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace gwt {

/// \brief Rules for the delay after which a request to a shard is hedged.
struct HedgeTimerRules
{
    double quantile = 0.92; ///< of the route's recent latencies at single shards
    double minTargetShare = 0.12; ///< lower bound of the delay, as a share of the route's target
    /// Upper bound of the delay, as a share of the route's target; a later hedge could not answer
    /// in time.
    double maxTargetShare = 0.45;
    std::uint32_t minSamples = 100; ///< with fewer samples the delay is the upper bound
};

/// \brief Inputs for the decision whether a late request is hedged.
struct HedgeConditions
{
    Duration expected; ///< latency at the best other server
    Duration toTarget; ///< negative once the target has passed
    Duration toDeadline;
    Duration age; ///< of the first send
};

/// \brief Tracks the latencies of each route's requests to single shards, and computes the delay
/// before one is hedged.
///
/// Handles servers that pause for longer than the target of a query: the hedge must be sent early
/// enough to meet the target, and rarely enough to fit the budget. Where the other servers are as
/// slow or as busy, a hedge only adds to their load.
class HedgeTimer
{
public:
    explicit HedgeTimer(HedgeTimerRules rules = {});

    /// \brief Returns true if a hedge can still meet the target.
    ///
    /// Past the target, returns true if the first send has been in flight for so long that its
    /// server seems to be unresponsive, and a hedge can still meet the deadline.
    static bool isHedgeUseful(const HedgeConditions &conditions);

    void record(const std::string &route, Duration latency);
    Duration delay(const std::string &route, Duration target) const;
    /// \brief Median latency of \a route at one shard, or a tenth of \a target while there are few
    /// samples.
    Duration typicalLatency(const std::string &route, Duration target) const;
    /// \brief Quantile \a q of the latencies of \a route at single shards; nullopt while there are
    /// few samples.
    std::optional<Duration> knownLatency(const std::string &route, double q) const;
    /// \brief Removes the samples of routes that \a routeNames does not contain.
    void retain(const std::set<std::string> &routeNames);

private:
    HedgeTimerRules m_rules;
    std::unordered_map<std::string, LatencyHistogram> m_latencies;
};

} // namespace gwt
