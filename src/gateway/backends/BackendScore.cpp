#include "gateway/backends/BackendScore.h"

#include <cmath>

namespace gwt {

BackendScore::BackendScore(BackendScoreRules rules)
    : m_rules(rules)
{ }

double BackendScore::decayed(double value, TimePoint now) const
{
    const double halfLives = std::chrono::duration<double>(now - m_updated)
        / std::chrono::duration<double>(m_rules.halfLife);
    return value * std::exp2(-std::max(0.0, halfLives));
}

double BackendScore::slowness(TimePoint now) const
{
    return 1 + decayed(m_excessLatency, now);
}

double BackendScore::failureRate(TimePoint now) const
{
    return decayed(m_failureRate, now);
}

void BackendScore::record(SendResult result, Duration elapsed, Duration typicalLatency,
                          TimePoint now)
{
    m_excessLatency = decayed(m_excessLatency, now);
    m_failureRate = decayed(m_failureRate, now);
    m_updated = now;
    const double weight = m_rules.sampleWeight;
    const bool isFailure = result != SendResult::Served;
    m_failureRate += weight * ((isFailure ? 1 : 0) - m_failureRate);
    if (result == SendResult::Unreachable) {
        m_backoff = std::clamp(m_backoff * 2, m_rules.minBackoff, m_rules.maxBackoff);
        m_backoffUntil = now + m_backoff;
        return;
    }
    if (isFailure)
        return;
    m_backoff = Duration::zero();
    m_backoffUntil = {};
    const double ratio = std::chrono::duration<double>(elapsed)
        / std::chrono::duration<double>(std::max<Duration>(typicalLatency, Milliseconds(1)));
    const double sample = std::min(ratio, m_rules.maxSlowness) - 1;
    m_excessLatency += weight * (sample - m_excessLatency);
}

Duration BackendScore::expected(Duration typicalLatency, int inFlight, int slots,
                                Duration oldestAge, bool isOtherZone, TimePoint now) const
{
    const double queued = static_cast<double>(inFlight) / std::max(1, slots);
    const double factor = slowness(now) * (1 + queued) + m_rules.failureCost * failureRate(now);
    Duration expected = std::chrono::duration_cast<Duration>(typicalLatency * factor);
    const Duration typicalHere
        = std::chrono::duration_cast<Duration>(typicalLatency * (2 * slowness(now)));
    if (oldestAge > typicalHere)
        expected += oldestAge;
    if (isOtherZone)
        expected += m_rules.crossZoneCost;
    return expected;
}

} // namespace gwt
