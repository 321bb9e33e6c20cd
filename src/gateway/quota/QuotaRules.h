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

/// Part of the tolerance that hosts may use without a coordinator. The rest covers processes that
/// do not see the same members for a moment, and requests that were granted just before the window.
inline constexpr double standingToleranceShare = 0.9;

} // namespace gwt
