#include "policy/RetryAdvice.h"

#include <algorithm>

namespace gwt {

namespace {

constexpr double minAdmittedRate = 0.1; ///< searches per second; lower rates count as this one

} // namespace

RetryAdvice::RetryAdvice(Duration window, Duration minWait, Duration maxWait)
    : m_window(window)
    , m_minWait(minWait)
    , m_maxWait(maxWait)
    , m_refusals(window)
{ }

void RetryAdvice::addRefusal(const std::string &index, const std::string &rank, TimePoint now)
{
    m_refusals.add(index, rank, now);
}

Duration RetryAdvice::retryAfter(const std::string &index, const std::string &rank,
                                 double admittedPerSecond, TimePoint now) const
{
    const double refusedPerSecond = m_refusals.rateOf(index, rank, now);
    const double backlogWindows = refusedPerSecond / std::max(admittedPerSecond, minAdmittedRate);
    const std::chrono::duration<double> maxWait = m_maxWait;
    const std::chrono::duration<double> wait
        = std::min(maxWait, std::chrono::duration<double>(m_window) * backlogWindows);
    return std::max<Duration>(m_minWait, std::chrono::duration_cast<Duration>(wait));
}

} // namespace gwt
