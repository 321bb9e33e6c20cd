#include "gateway/policy/DeadlineCheck.h"

#include <algorithm>

namespace gwt {

namespace {

/// Latencies count as known for so long after the last answer. Without a limit, a process that has
/// measured slow shards and then refuses all queries would never measure again.
constexpr std::chrono::seconds maxAnswerAge{10};
/// The median at most: higher quantiles contain stragglers, for which hedges are sent.
constexpr double maxQuantile = 0.5;

} // namespace

DeadlineCheck::DeadlineCheck(const HedgeTimer &hedges)
    : m_hedges(hedges)
{ }

void DeadlineCheck::recordAnswer(const std::string &route, TimePoint now)
{
    m_lastAnswers[route] = now;
}

bool DeadlineCheck::isTooLate(const Route &route, Duration timeLeft, TimePoint now) const
{
    if (timeLeft >= route.target)
        return false;
    const auto lastAnswer = m_lastAnswers.find(route.name);
    if (lastAnswer == m_lastAnswers.end() || now - lastAnswer->second > maxAnswerAge)
        return false;
    const double quantile = std::min(maxQuantile, route.query.minShare);
    const auto needed = m_hedges.knownLatency(route.name, quantile);
    return needed && timeLeft < *needed;
}

void DeadlineCheck::retain(const std::set<std::string> &routeNames)
{
    std::erase_if(m_lastAnswers,
                  [&](const auto &each) { return !routeNames.contains(each.first); });
}

} // namespace gwt
