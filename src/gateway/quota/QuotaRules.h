#pragma once

#include "common/Time.h"
#include "gateway/routing/Team.h"

namespace gwt {

/// \brief How quotas are measured and by how much they may be exceeded, as the platform's settings
/// state it.
struct QuotaRules
{
    Duration window = std::chrono::seconds(5); ///< any span of this length counts
    double overage = 0; ///< tolerance as a share of the requests of a window
    double slack = 0; ///< further tolerance in requests

    /// \brief Requests that \a quota allows in a window.
    double requestsOf(const TeamQuota &quota) const
    {
        return quota.ratePerSecond * std::chrono::duration<double>(window).count() + quota.burst;
    }
    /// \brief Requests beyond those of a window that are tolerated.
    double toleranceOf(const TeamQuota &quota) const { return overage * requestsOf(quota) + slack; }
    bool operator==(const QuotaRules &) const = default;
};

// Parts of the tolerance. What is left covers requests that were granted just before the window
// and processes that do not see the same members for a moment.

/// Lets a coordinator grant more than the quota, as callers do not measure it with its clock.
inline constexpr double ledgerToleranceShare = 0.3;
/// For a coordinator that does not know what its predecessor has granted in the window.
inline constexpr double successorToleranceShare = 0.3;
/// For requests without a coordinator.
inline constexpr double standingToleranceShare = 0.3;

} // namespace gwt
