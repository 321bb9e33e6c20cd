#include "gateway/backends/BackendScore.h"

#include <cmath>

namespace gwt {

BackendScore::BackendScore(BackendScoreRules rules)
    : m_rules(rules)
{ }

double BackendScore::faded(double value, TimePoint now) const
{
    const double halves = std::chrono::duration<double>(now - m_updated)
        / std::chrono::duration<double>(m_rules.halfLife);
    return value * std::exp2(-std::max(0.0, halves));
}

double BackendScore::slowness(TimePoint now) const
{
    return 1 + faded(m_excess, now);
}

double BackendScore::failureRate(TimePoint now) const
{
    return faded(m_failures, now);
}

void BackendScore::note(SendResult result, Duration elapsed, Duration typicalLatency, TimePoint now)
{
    m_excess = faded(m_excess, now);
    m_failures = faded(m_failures, now);
    m_updated = now;
    const double weight = m_rules.sampleWeight;
    const bool isFailure = result != SendResult::Served;
    m_failures += weight * ((isFailure ? 1 : 0) - m_failures);
    if (result == SendResult::Unreachable) {
        m_pause = std::clamp(m_pause * 2, m_rules.unreachablePause, m_rules.longestPause);
        m_pausedUntil = now + m_pause;
        return;
    }
    if (isFailure)
        return;
    m_pause = Duration::zero();
    m_pausedUntil = {};
    const double ratio = std::chrono::duration<double>(elapsed)
        / std::chrono::duration<double>(std::max<Duration>(typicalLatency, Milliseconds(1)));
    const double sample = std::min(ratio, m_rules.maxSlowness) - 1;
    m_excess += weight * (sample - m_excess);
}

Duration BackendScore::expected(Duration typicalLatency, int inFlight, int slots, Duration oldest,
                                bool isOtherZone, TimePoint now) const
{
    const double queued = static_cast<double>(inFlight) / std::max(1, slots);
    const double factor = slowness(now) * (1 + queued) + m_rules.failureCost * failureRate(now);
    Duration expected = std::chrono::duration_cast<Duration>(typicalLatency * factor);
    const Duration usualHere
        = std::chrono::duration_cast<Duration>(typicalLatency * (2 * slowness(now)));
    if (oldest > usualHere)
        expected += oldest;
    if (isOtherZone)
        expected += m_rules.crossZoneCost;
    return expected;
}

} // namespace gwt
