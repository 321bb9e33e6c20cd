#pragma once

#include "policy/RankShareMeter.h"

namespace gwt {

/// \brief Tells refused callers when to come back; pure decision code.
///
/// The advice is the time in which the admitted rate works off the searches that were refused
/// lately, so that callers who follow it do not all return into the same overload.
class RetryAdvice
{
public:
    /// \brief Refusals count for \a window; advice lies between \a shortest and \a longest.
    RetryAdvice(Duration window, Duration shortest, Duration longest);

    void addRefusal(const std::string &index, const std::string &rank, TimePoint now);
    /// \brief Time to wait before a search of \a rank is sent again, within fixed bounds.
    ///
    /// \a admittedPerSecond is the recent rate at which searches of the rank are admitted.
    Duration retryAfter(const std::string &index, const std::string &rank, double admittedPerSecond,
                        TimePoint now) const;

private:
    Duration m_window;
    Duration m_shortest;
    Duration m_longest;
    RankShareMeter m_refusals;
};

} // namespace gwt
