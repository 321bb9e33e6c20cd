#include "gateway/policy/HedgeTimer.h"

namespace gwt {

namespace {

/// Multiple of the expected latency at another server after which the first server counts as
/// unresponsive rather than as busy as the other. See docs/POLICY.md.
constexpr int unresponsiveAgeFactor = 2;

Duration shareOf(Duration whole, double share)
{
    return std::chrono::duration_cast<Duration>(whole * share);
}

} // namespace

HedgeTimer::HedgeTimer(HedgeTimerRules rules)
    : m_rules(rules)
{ }

bool HedgeTimer::isHedgeUseful(const HedgeConditions &conditions)
{
    if (conditions.toTarget > Duration::zero())
        return conditions.expected <= conditions.toTarget;
    // A query past its target still lacks its minimum coverage; a late answer is better than none.
    const bool seemsUnresponsive = conditions.age / unresponsiveAgeFactor >= conditions.expected;
    return seemsUnresponsive && conditions.expected <= conditions.toDeadline;
}

void HedgeTimer::record(const std::string &route, Duration latency)
{
    m_latencies[route].add(latency);
}

Duration HedgeTimer::delay(const std::string &route, Duration target) const
{
    const Duration latest = shareOf(target, m_rules.maxTargetShare);
    const auto found = m_latencies.find(route);
    if (found == m_latencies.end() || found->second.samples() < m_rules.minSamples)
        return latest;
    const Duration earliest = shareOf(target, m_rules.minTargetShare);
    return std::clamp(found->second.quantile(m_rules.quantile), earliest, latest);
}

std::optional<Duration> HedgeTimer::knownLatency(const std::string &route, double q) const
{
    const auto found = m_latencies.find(route);
    if (found == m_latencies.end() || found->second.samples() < m_rules.minSamples)
        return std::nullopt;
    return found->second.quantile(q);
}

Duration HedgeTimer::typicalLatency(const std::string &route, Duration target) const
{
    return knownLatency(route, 0.5).value_or(shareOf(target, 0.1));
}

void HedgeTimer::retain(const std::set<std::string> &routeNames)
{
    std::erase_if(m_latencies, [&](const auto &each) { return !routeNames.contains(each.first); });
}

} // namespace gwt
