#include "common/StallDetector.h"

namespace gwt {

StallDetector::StallDetector(Duration bound)
    : m_bound(bound)
{ }

std::optional<Stall> StallDetector::recordRun(TimePoint due, TimePoint now,
                                              std::chrono::steady_clock::time_point steady)
{
    const Duration offset = now.time_since_epoch() - steady.time_since_epoch();
    const Duration suspended = offset - m_offset.value_or(offset);
    const Duration delay = now - std::max(due, m_seenAt) - suspended;
    const Stall stall{std::max(Duration::zero(), delay), suspended};
    m_seenAt = now;
    m_offset = offset;
    if (stall.delay <= m_bound && stall.suspended <= m_bound)
        return std::nullopt;
    return stall;
}

} // namespace gwt
