#pragma once

#include "common/Time.h"

#include <optional>

namespace gwt {

/// \brief A period in which the process did not run.
struct Stall
{
    Duration delay; ///< delay of a timer beyond its due time, excluding suspension
    Duration suspended; ///< time for which the host was suspended
};

/// \brief Detects that this process was stalled: it was stopped, or its host was frozen, suspended
/// or overloaded.
///
/// Late replies and timeouts around a stall are caused by this process and not by the backend
/// servers. Doesn't perform I/O or read the clock.
class StallDetector
{
public:
    /// \brief Ignores stalls of at most \a bound.
    explicit StallDetector(Duration bound);

    /// \brief Records that timers due at \a due run at \a now, and returns the stall, if any.
    ///
    /// \a steady is the same time as \a now on the clock that excludes suspensions.
    std::optional<Stall> recordRun(TimePoint due, TimePoint now,
                                   std::chrono::steady_clock::time_point steady);

private:
    const Duration m_bound;
    TimePoint m_lastRun; ///< last run of timers; delays before it have been reported
    std::optional<Duration> m_suspendedTotal; ///< suspended time since boot, as of the last run
};

} // namespace gwt
