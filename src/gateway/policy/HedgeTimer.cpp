#include "gateway/policy/HedgeTimer.h"

namespace gwt {

namespace {

Duration shareOf(Duration whole, double share)
{
    return std::chrono::duration_cast<Duration>(whole * share);
}

} // namespace

HedgeTimer::HedgeTimer(HedgeTimerRules rules)
    : m_rules(rules)
{ }

void HedgeTimer::note(const std::string &route, Duration legTime)
{
    m_legTimes[route].add(legTime);
}

Duration HedgeTimer::delay(const std::string &route, Duration target) const
{
    const Duration latest = shareOf(target, m_rules.maxTargetShare);
    const auto known = m_legTimes.find(route);
    if (known == m_legTimes.end() || known->second.samples() < m_rules.minSamples)
        return latest;
    const Duration earliest = shareOf(target, m_rules.minTargetShare);
    return std::clamp(known->second.quantile(m_rules.quantile), earliest, latest);
}

Duration HedgeTimer::usual(const std::string &route, Duration target) const
{
    const auto known = m_legTimes.find(route);
    if (known == m_legTimes.end() || known->second.samples() < m_rules.minSamples)
        return shareOf(target, 0.1);
    return known->second.quantile(0.5);
}

} // namespace gwt
