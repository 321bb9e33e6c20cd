#include "common/StallDetector.h"

namespace gwt {

StallDetector::StallDetector(Duration bound)
    : m_bound(bound)
{ }

std::optional<Stall> StallDetector::recordRun(TimePoint due, TimePoint now,
                                              std::chrono::steady_clock::time_point steady)
{
    const Duration suspendedTotal = now.time_since_epoch() - steady.time_since_epoch();
    const Duration suspended = suspendedTotal - m_suspendedTotal.value_or(suspendedTotal);
    const Duration delay = now - std::max(due, m_lastRun) - suspended;
    const Stall stall{std::max(Duration::zero(), delay), suspended};
    m_lastRun = now;
    m_suspendedTotal = suspendedTotal;
    if (stall.delay <= m_bound && stall.suspended <= m_bound)
        return std::nullopt;
    return stall;
}

} // namespace gwt
