#pragma once

#include "policy/RankShareMeter.h"

namespace gwt {

/// \brief Computes how long refused callers should wait before they retry; does no I/O.
///
/// The wait is the time that the recently refused searches would take at the admitted rate, so
/// that callers who honour it do not all return into the same overload.
class RetryAdvice
{
public:
    /// \brief Counts refusals over \a window; waits lie between \a shortest and \a longest.
    RetryAdvice(Duration window, Duration minWait, Duration maxWait);

    void addRefusal(const std::string &index, const std::string &rank, TimePoint now);
    /// \brief Time to wait before a search of \a rank is retried, within the fixed bounds.
    ///
    /// \a admittedPerSecond is the recent rate of admitted searches of the rank.
    Duration retryAfter(const std::string &index, const std::string &rank, double admittedPerSecond,
                        TimePoint now) const;

private:
    Duration m_window;
    Duration m_minWait;
    Duration m_maxWait;
    RankShareMeter m_refusals;
};

} // namespace gwt
