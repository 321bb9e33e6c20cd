#pragma once

#include <chrono>

namespace gwt {

/// \brief A monotonic clock of the time since boot, including time the host was suspended.
///
/// std::chrono::steady_clock doesn't advance during a suspension: afterwards, deadlines would
/// expire too late by its length, and cached state would seem fresher than it is.
class BootClock
{
public:
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;

    // Named by the standard library's clock requirements.
    // NOLINTNEXTLINE(readability-identifier-naming)
    static constexpr bool is_steady = true;

    static time_point now() noexcept;
};

} // namespace gwt
