#include "relay/HedgePolicy.h"

namespace gwt {

HedgePolicy::HedgePolicy(HedgeRules rules)
    : m_rules(rules)
{ }

void HedgePolicy::record(const std::string &rank, Duration slotTime)
{
    m_slotTimes[rank].add(slotTime);
}

std::optional<Duration> HedgePolicy::delay(const std::string &rank, bool isRankHedged,
                                           Duration queueDelay) const
{
    if (!m_rules.isEnabled || !isRankHedged)
        return std::nullopt;
    const auto known = m_slotTimes.find(rank);
    const bool isKnown
        = known != m_slotTimes.end() && known->second.samples() >= m_rules.minSamples;
    const Duration measured
        = isKnown ? known->second.quantile(m_rules.quantile) : m_rules.fallbackDelay;
    const Duration delay = std::max(measured, m_rules.minDelay);
    if (queueDelay > delay)
        return std::nullopt;
    return delay;
}

} // namespace gwt
