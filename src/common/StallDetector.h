#pragma once

#include "common/Time.h"

#include <optional>

namespace gwt {

/// \brief How long a process did not run.
struct Stall
{
    Duration late; ///< by which a timer fired after its time, the suspension left out
    Duration suspended; ///< in which the host was suspended
};

/// \brief Notices that this process stood still: it was stopped, or its host was frozen, suspended
/// or far too slow.
///
/// What was answered late or given up around that time has its cause here and not in the backend
/// servers. Pure decision code.
class StallDetector
{
public:
    /// \brief Reports nothing up to \a bound.
    explicit StallDetector(Duration bound);

    /// \brief Takes that timers that were due at \a due run at \a now; \a steady is the same time
    /// by the clock that leaves suspensions out.
    std::optional<Stall> note(TimePoint due, TimePoint now,
                              std::chrono::steady_clock::time_point steady);

private:
    const Duration m_bound;
    TimePoint m_seenAt; ///< last run of timers; what was late by then has been told
    std::optional<Duration> m_offset; ///< time suspended since the boot, as last seen
};

} // namespace gwt
