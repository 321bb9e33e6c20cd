#pragma once

#include "common/Time.h"
#include "gateway/routing/Team.h"

namespace gwt {

/// \brief How far the requests of a team may exceed its quota, as the platform's settings state it.
struct QuotaRules
{
    Duration window = std::chrono::seconds(5); ///< span over which a quota is measured
    double overage = 0; ///< tolerance as a share of the quota of a window
    double slack = 0; ///< further tolerance in requests

    /// \brief Requests beyond the quota of a window that are tolerated.
    double toleranceOf(const TeamQuota &quota) const
    {
        const double seconds = std::chrono::duration<double>(window).count();
        return overage * (quota.ratePerSecond * seconds + quota.burst) + slack;
    }
    bool operator==(const QuotaRules &) const = default;
};

/// Parts of the tolerance. What is left covers requests that were granted just before the window
/// and processes that do not see the same members for a moment.
inline constexpr double ledgerToleranceShare = 0.6; ///< for the buckets of a coordinator
inline constexpr double standingToleranceShare = 0.3; ///< for requests without a coordinator

} // namespace gwt
