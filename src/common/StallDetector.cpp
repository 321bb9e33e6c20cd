#include "common/StallDetector.h"

#include <ctime>

namespace gwt {

Duration timeSinceBoot()
{
    timespec time{};
    // Linux has this clock since 2.6.39; without it no suspension is seen.
    if (::clock_gettime(CLOCK_BOOTTIME, &time) != 0)
        return Clock::now().time_since_epoch();
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

StallDetector::StallDetector(Duration bound)
    : m_bound(bound)
{ }

std::optional<Stall> StallDetector::note(TimePoint due, TimePoint now, Duration sinceBoot)
{
    const Duration offset = sinceBoot - now.time_since_epoch();
    const Stall stall{std::max(Duration::zero(), now - std::max(due, m_seenAt)),
                      offset - m_offset.value_or(offset)};
    m_seenAt = now;
    m_offset = offset;
    if (stall.late <= m_bound && stall.suspended <= m_bound)
        return std::nullopt;
    return stall;
}

} // namespace gwt
