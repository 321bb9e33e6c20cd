#include "common/BootClock.h"

#include "common/Assert.h"

#include <ctime>

namespace gwt {

BootClock::time_point BootClock::now() noexcept
{
    timespec time{};
    const int failure = ::clock_gettime(CLOCK_BOOTTIME, &time); // Linux 2.6.39 or later
    GWT_ASSERT(failure == 0, "the system has this clock");
    return time_point(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace gwt
