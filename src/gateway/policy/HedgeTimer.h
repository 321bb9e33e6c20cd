#pragma once

#include "common/LatencyHistogram.h"

#include <set>
#include <string>
#include <unordered_map>

namespace gwt {

/// \brief When the second send of a leg starts.
struct HedgeTimerRules
{
    double quantile = 0.92; ///< of the route's own leg times
    double minTargetShare = 0.12; ///< of the route's target, before which no leg is hedged
    double maxTargetShare = 0.45; ///< after it a second send could no longer make the target
    std::uint32_t minSamples = 100; ///< below it the upper bound holds
};

/// \brief What a second send of a late leg would meet.
struct HedgeOutlook
{
    Duration expected; ///< latency at the best other server
    Duration toTarget; ///< negative once the target has passed
    Duration toDeadline;
    Duration age; ///< of the first send
};

/// \brief Learns the leg times of each route and says how long a leg may be out before a second
/// one is sent.
///
/// Answers the pattern of servers that pause for longer than the target of a query: the second
/// send must leave early enough to make the target, and rarely enough to fit the budget. Where the
/// other servers are as slow or full, a second send only adds to their load.
class HedgeTimer
{
public:
    explicit HedgeTimer(HedgeTimerRules rules = {});

    /// \brief True if a second send can still make the target; or, once that has passed, if the
    /// first one has been out for so long that its server seems to be silent.
    static bool canHelp(const HedgeOutlook &outlook);

    void record(const std::string &route, Duration legTime);
    Duration delay(const std::string &route, Duration target) const;
    /// \brief Median leg time of \a route, or a tenth of \a target while there are few samples.
    Duration usual(const std::string &route, Duration target) const;
    /// \brief Forgets what was learned of routes that \a routeNames does not hold.
    void retain(const std::set<std::string> &routeNames);

private:
    HedgeTimerRules m_rules;
    std::unordered_map<std::string, LatencyHistogram> m_legTimes;
};

} // namespace gwt
