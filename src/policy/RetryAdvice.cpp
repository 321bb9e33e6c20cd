#include "policy/RetryAdvice.h"

#include <algorithm>

namespace gwt {

namespace {

constexpr double leastRate = 0.1; ///< searches per second; lower admitted rates count as this one

} // namespace

RetryAdvice::RetryAdvice(Duration window, Duration shortest, Duration longest)
    : m_window(window)
    , m_shortest(shortest)
    , m_longest(longest)
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
    const double windows = refusedPerSecond / std::max(admittedPerSecond, leastRate);
    const std::chrono::duration<double> longest = m_longest;
    const std::chrono::duration<double> wait
        = std::min(longest, std::chrono::duration<double>(m_window) * windows);
    return std::max<Duration>(m_shortest, std::chrono::duration_cast<Duration>(wait));
}

} // namespace gwt
