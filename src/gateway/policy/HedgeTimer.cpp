#include "gateway/policy/HedgeTimer.h"

namespace gwt {

namespace {

/// Multiple of the expected latency at another server after which the first server counts as
/// unresponsive rather than as busy as the other. See docs/POLICY.md.
constexpr int silentAge = 2;

Duration shareOf(Duration whole, double share)
{
    return std::chrono::duration_cast<Duration>(whole * share);
}

} // namespace

HedgeTimer::HedgeTimer(HedgeTimerRules rules)
    : m_rules(rules)
{ }

bool HedgeTimer::isHedgeUseful(const HedgeConditions &outlook)
{
    if (outlook.toTarget > Duration::zero())
        return outlook.expected <= outlook.toTarget;
    // A query past its target still lacks its minimum coverage; a late answer is better than none.
    const bool seemsSilent = outlook.age / silentAge >= outlook.expected;
    return seemsSilent && outlook.expected <= outlook.toDeadline;
}

void HedgeTimer::record(const std::string &route, Duration legTime)
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

void HedgeTimer::retain(const std::set<std::string> &routeNames)
{
    std::erase_if(m_legTimes, [&](const auto &each) { return !routeNames.contains(each.first); });
}

} // namespace gwt
