#include "gateway/policy/AdaptiveAdmission.h"

#include <algorithm>
#include <limits>

namespace gwt {

AdaptiveAdmission::AdaptiveAdmission(AdaptiveAdmissionRules rules, const RandomEngine &random)
    : m_rules(rules)
    , m_random(random)
{ }

bool AdaptiveAdmission::admit(int rank, Duration work, double excess, TimePoint now)
{
    adapt(now);
    RankLoad &load = m_ranks[rank];
    const double seconds = std::chrono::duration<double>(work).count();
    load.offered += seconds;
    load.fairOffered += seconds * usualPart(load, excess);
    load.plainOffered += excess > 1 ? 0 : seconds;
    m_queryWork = seconds;
    if (load.unanswered >= unansweredLimit(load) || !passesThinning(load, excess))
        return false;
    load.credit = std::min(load.credit + load.share, 1.0);
    if (load.credit < 1)
        return false;
    load.credit -= 1;
    load.admitted += seconds;
    ++load.unanswered;
    return true;
}

double AdaptiveAdmission::usualPart(const RankLoad &load, double excess) const
{
    // Of the whole rank, fairPart x share is admitted, and of a team the part that remains after
    // thinning x share.
    return excess > 1 ? std::max(1 / excess, m_rules.minTeamShare * load.fairPart) : 1;
}

bool AdaptiveAdmission::passesThinning(const RankLoad &load, double excess)
{
    if (excess <= 1 || !isScarce(load))
        return true;
    // A count instead of a random choice could refuse the same team each time if several take
    // turns.
    const double part = std::min(1.0, load.thinningFactor * usualPart(load, excess));
    return std::bernoulli_distribution(part)(m_random);
}

double AdaptiveAdmission::unansweredLimit(const RankLoad &load) const
{
    // By Little's law the normal rate, in seconds of work per second, is the number of queries in
    // progress.
    return std::max<double>(m_rules.minUnansweredLimit, m_rules.unansweredFactor * load.normalRate);
}

bool AdaptiveAdmission::isScarce(const RankLoad &load) const
{
    // The limit on unanswered queries can hold a moderate flood at a pressure below 1.
    return isBounded() || load.unanswered >= m_rules.scarceUnansweredShare * unansweredLimit(load);
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
        load.fairDemand += m_rules.demandWeight * (load.fairOffered / seconds - load.fairDemand);
        load.plainDemand += m_rules.demandWeight * (load.plainOffered / seconds - load.plainDemand);
        load.admittedRate = load.admitted / seconds;
        load.offered = 0;
        load.fairOffered = 0;
        load.plainOffered = 0;
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
    const double unused = allocateFairDemand();
    for (auto &[rank, load] : m_ranks) {
        load.thinningFactor = 1;
        load.fairPart = load.demand > 0 ? std::min(1.0, load.fairDemand / load.demand) : 1;
    }
    if (isBounded())
        allocateUnused(unused);
}

double AdaptiveAdmission::allocateFairDemand()
{
    double reserved = 0; // guaranteed minimums of the ranks that are not allocated yet
    for (const auto &[rank, load] : m_ranks)
        reserved += std::min(load.fairDemand, m_rules.guaranteedShare * m_capacity);
    double remaining = m_capacity;
    for (auto &[rank, load] : m_ranks) {
        if (!isBounded() || load.fairDemand <= 0) {
            load.share = 1;
            continue;
        }
        const double guaranteed = std::min(load.fairDemand, m_rules.guaranteedShare * m_capacity);
        reserved -= guaranteed;
        const double allocated
            = std::max(guaranteed, std::min(load.fairDemand, remaining - reserved));
        remaining -= allocated;
        load.share = std::min(1.0, allocated / load.fairDemand);
    }
    return remaining;
}

void AdaptiveAdmission::allocateUnused(double unused)
{
    for (auto &[rank, load] : m_ranks) {
        const double thinnedDemand = load.fairDemand - load.plainDemand;
        if (unused <= 0 || thinnedDemand <= 0)
            continue;
        const double extra = std::min(unused, load.demand - load.fairDemand);
        load.thinningFactor = 1 + std::max(0.0, extra) / thinnedDemand;
        unused -= extra;
    }
}

} // namespace gwt
