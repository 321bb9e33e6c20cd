#include "relay/EjectionPolicy.h"

namespace gwt {

namespace {

constexpr int maxDoublings = 16;

} // namespace

EjectionPolicy::EjectionPolicy(EjectionRules rules)
    : m_rules(rules)
{ }

void EjectionPolicy::record(ReplicaHealth &health, AttemptOutcome outcome) const
{
    switch (outcome) {
    case AttemptOutcome::Answered:
        health.consecutiveFailures = 0;
        health.consecutiveOverruns = 0;
        health.isOnProbation = false;
        if (++health.consecutiveAnswers >= m_rules.recoveryAnswers)
            health.ejections = 0;
        break;
    case AttemptOutcome::Failed:
        ++health.consecutiveFailures;
        health.consecutiveAnswers = 0;
        break;
    case AttemptOutcome::Overrun:
        ++health.consecutiveOverruns;
        health.consecutiveAnswers = 0;
        break;
    case AttemptOutcome::Neutral:
        break;
    }
}

bool EjectionPolicy::isOutlier(const ReplicaHealth &health) const
{
    if (!m_rules.isEnabled || health.isEjected)
        return false;
    const bool hasFailedProbation
        = health.isOnProbation && health.consecutiveFailures + health.consecutiveOverruns > 0;
    return hasFailedProbation || health.consecutiveFailures >= m_rules.maxFailures
        || health.consecutiveOverruns >= m_rules.maxOverruns;
}

bool EjectionPolicy::isUnresponsive(const ReplicaHealth &health, Duration latency,
                                    TimePoint now) const
{
    if (!m_rules.isEnabled || health.isEjected)
        return false;
    const std::chrono::duration<double> typicalLatency(latency);
    return now - health.noReplySince > m_rules.noReplyTimeout
        && now - health.noReplySince > typicalLatency * m_rules.noReplyLatencyFactor;
}

bool EjectionPolicy::mayEject(int ejected, int replicas) const
{
    return ejected + 1 <= static_cast<int>(m_rules.maxEjectedShare * replicas);
}

void EjectionPolicy::eject(ReplicaHealth &health, TimePoint now) const
{
    const int doublings = std::min(health.ejections, maxDoublings);
    const Duration time
        = std::min(m_rules.baseEjectionTime * (1 << doublings), m_rules.maxEjectionTime);
    ++health.ejections;
    health.isEjected = true;
    health.isOnProbation = false;
    health.ejectedUntil = now + time;
    health.consecutiveFailures = 0;
    health.consecutiveOverruns = 0;
    health.consecutiveAnswers = 0;
}

bool EjectionPolicy::readmit(ReplicaHealth &health, TimePoint now) const
{
    if (!health.isEjected || now < health.ejectedUntil)
        return false;
    health.isEjected = false;
    health.isOnProbation = true;
    health.noReplySince = now;
    return true;
}

} // namespace gwt
