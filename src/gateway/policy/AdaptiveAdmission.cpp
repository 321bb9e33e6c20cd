#include "gateway/policy/AdaptiveAdmission.h"

#include <algorithm>
#include <limits>

namespace gwt {

AdaptiveAdmission::AdaptiveAdmission(AdaptiveAdmissionRules rules)
    : m_rules(rules)
{ }

bool AdaptiveAdmission::admit(int rank, Duration work, TimePoint now)
{
    adapt(now);
    RankLoad &load = m_ranks[rank];
    const double seconds = std::chrono::duration<double>(work).count();
    load.offered += seconds;
    m_queryWork = seconds;
    if (!isBelowUnansweredLimit(load))
        return false;
    load.credit = std::min(load.credit + load.share, 1.0);
    if (load.credit < 1)
        return false;
    load.credit -= 1;
    load.admitted += seconds;
    ++load.unanswered;
    return true;
}

bool AdaptiveAdmission::isBelowUnansweredLimit(const RankLoad &load) const
{
    // By Little's law the normal rate, in seconds of work per second, is the number of queries in
    // progress.
    return load.unanswered
        < std::max<double>(m_rules.minUnansweredLimit, m_rules.unansweredFactor * load.normalRate);
}

void AdaptiveAdmission::record(int rank, std::optional<double> pressure, TimePoint admittedAt,
                               TimePoint now)
{
    adapt(now);
    RankLoad &load = m_ranks[rank];
    load.unanswered = std::max(0, load.unanswered - 1);
    if (!pressure || admittedAt < m_decreasedAt)
        return;
    m_pressureSum += *pressure;
    ++m_pressureSamples;
}

double AdaptiveAdmission::admittedShare(int rank) const
{
    const auto load = m_ranks.find(rank);
    return load == m_ranks.end() ? 1 : load->second.share;
}

double AdaptiveAdmission::sum(double RankLoad::*field) const
{
    double sum = 0;
    for (const auto &[rank, load] : m_ranks)
        sum += load.*field;
    return sum;
}

void AdaptiveAdmission::adapt(TimePoint now)
{
    const Duration elapsed = now - m_intervalStart;
    const bool hasFewSamples = m_pressureSamples < m_rules.minSamples;
    if (elapsed < (hasFewSamples ? m_rules.maxInterval : m_rules.interval))
        return;
    const double seconds = std::chrono::duration<double>(elapsed).count();
    m_intervalStart = now;
    for (auto &[rank, load] : m_ranks) {
        load.demand += m_rules.demandWeight * (load.offered / seconds - load.demand);
        load.admittedRate = load.admitted / seconds;
        load.offered = 0;
        load.admitted = 0;
    }
    adaptCapacity(now);
    m_pressureSum = 0;
    m_pressureSamples = 0;
    allocateCapacity();
}

void AdaptiveAdmission::decreaseCapacity(double pressure, TimePoint now)
{
    const double weight
        = std::min(1.0, static_cast<double>(m_pressureSamples) / m_rules.fullWeightSamples);
    const double factor = 1 - weight * (1 - std::max(m_rules.minDecreaseFactor, 1 / pressure));
    const double normalRate = sum(&RankLoad::normalRate);
    // Until there was traffic without pressure, the limit on unanswered queries may have held back
    // almost all others, so that the rate admitted says nothing about the backend servers.
    const double unboundedRate
        = normalRate > 0 ? sum(&RankLoad::admittedRate) : sum(&RankLoad::demand);
    const double currentRate = isBounded() ? m_capacity : unboundedRate;
    const double minCapacity = isBounded() ? m_rules.minNormalRateShare * normalRate : normalRate;
    m_capacity = std::max({currentRate * factor, minCapacity, probingRate()});
    m_decreasedAt = now;
}

double AdaptiveAdmission::probingRate() const
{
    const double rate = m_rules.minUnansweredLimit * m_queryWork
        / std::chrono::duration<double>(m_rules.maxInterval).count();
    return std::max(rate, std::numeric_limits<double>::min());
}

void AdaptiveAdmission::updateNormalRates()
{
    for (auto &[rank, load] : m_ranks)
        load.normalRate += m_rules.normalRateWeight * (load.admittedRate - load.normalRate);
}

void AdaptiveAdmission::adaptCapacity(TimePoint now)
{
    const bool hasSamples = m_pressureSamples >= m_rules.minSamples;
    const double pressure = hasSamples ? m_pressureSum / m_pressureSamples : 0;
    if (pressure > 1) {
        decreaseCapacity(pressure, now);
        return;
    }
    // Without samples since the last decrease its effect is unknown.
    const bool lacksSamples = !hasSamples && sum(&RankLoad::admittedRate) > 0;
    if (lacksSamples || pressure > m_rules.maxGrowthPressure)
        return;
    updateNormalRates();
    if (!isBounded())
        return;
    m_capacity *= m_rules.growthFactor;
    if (m_capacity > sum(&RankLoad::demand) * m_rules.limitLiftRatio)
        m_capacity = 0;
}

void AdaptiveAdmission::allocateCapacity()
{
    double reserved = 0; // guaranteed minimums of the ranks that are not allocated yet
    for (const auto &[rank, load] : m_ranks)
        reserved += std::min(load.demand, m_rules.guaranteedShare * m_capacity);
    double remaining = m_capacity;
    for (auto &[rank, load] : m_ranks) {
        if (!isBounded() || load.demand <= 0) {
            load.share = 1;
            continue;
        }
        const double guaranteed = std::min(load.demand, m_rules.guaranteedShare * m_capacity);
        reserved -= guaranteed;
        const double allocated = std::max(guaranteed, std::min(load.demand, remaining - reserved));
        remaining -= allocated;
        load.share = std::min(1.0, allocated / load.demand);
    }
}

} // namespace gwt
