#pragma once

#include "common/BootClock.h"

#include <algorithm>
#include <chrono>

namespace gwt {

using Clock = BootClock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;
using Microseconds = std::chrono::microseconds;
using Milliseconds = std::chrono::milliseconds;

/// \brief Time left from \a now until \a deadline, zero once it has passed.
inline Duration timeLeft(TimePoint deadline, TimePoint now)
{
    return std::max(Duration::zero(), deadline - now);
}

} // namespace gwt
