#pragma once

#include <chrono>

namespace gwt {

/// \brief Time since the host booted, suspensions of the host included.
///
/// std::chrono::steady_clock leaves suspensions out: after one, deadlines would lie too late by it,
/// and what is believed would seem younger than it is.
class BootClock
{
public:
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;

    // The name is the standard library's. NOLINTNEXTLINE(readability-identifier-naming)
    static constexpr bool is_steady = true;

    static time_point now() noexcept;
};

} // namespace gwt
