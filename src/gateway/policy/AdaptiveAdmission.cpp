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
    if (!hasRoom(load))
        return false;
    load.credit = std::min(load.credit + load.share, 1.0);
    if (load.credit < 1)
        return false;
    load.credit -= 1;
    load.admitted += seconds;
    ++load.unanswered;
    return true;
}

bool AdaptiveAdmission::hasRoom(const RankLoad &load) const
{
    // By Little's law the calm rate, in seconds of work per second, is the number of queries in
    // progress.
    return load.unanswered
        < std::max<double>(m_rules.minUnansweredLimit, m_rules.unansweredFactor * load.calmRate);
}

void AdaptiveAdmission::record(int rank, std::optional<double> pressure, TimePoint admittedAt,
                               TimePoint now)
{
    adapt(now);
    RankLoad &load = m_ranks[rank];
    load.unanswered = std::max(0, load.unanswered - 1);
    if (!pressure || admittedAt < m_cutAt)
        return;
    m_pressureSum += *pressure;
    ++m_pressureSamples;
}

double AdaptiveAdmission::admittedShare(int rank) const
{
    const auto load = m_ranks.find(rank);
    return load == m_ranks.end() ? 1 : load->second.share;
}

double AdaptiveAdmission::sum(double RankLoad::*part) const
{
    double sum = 0;
    for (const auto &[rank, load] : m_ranks)
        sum += load.*part;
    return sum;
}

void AdaptiveAdmission::adapt(TimePoint now)
{
    const Duration elapsed = now - m_intervalStart;
    const bool isShort = m_pressureSamples < m_rules.minSamples;
    if (elapsed < (isShort ? m_rules.longestInterval : m_rules.interval))
        return;
    const double seconds = std::chrono::duration<double>(elapsed).count();
    m_intervalStart = now;
    for (auto &[rank, load] : m_ranks) {
        load.demand += m_rules.newDemandWeight * (load.offered / seconds - load.demand);
        load.admittedRate = load.admitted / seconds;
        load.offered = 0;
        load.admitted = 0;
    }
    adaptCapacity(now);
    m_pressureSum = 0;
    m_pressureSamples = 0;
    allot();
}

void AdaptiveAdmission::cut(double pressure, TimePoint now)
{
    const double weight
        = std::min(1.0, static_cast<double>(m_pressureSamples) / m_rules.fullSamples);
    const double kept = 1 - weight * (1 - std::max(m_rules.strongestCut, 1 / pressure));
    const double calmRate = sum(&RankLoad::calmRate);
    const double used = isBounded() ? m_capacity : sum(&RankLoad::admittedRate);
    const double least = isBounded() ? m_rules.leastCalmShare * calmRate : calmRate;
    m_capacity = std::max({used * kept, least, std::numeric_limits<double>::min()});
    m_cutAt = now;
}

void AdaptiveAdmission::noteCalm()
{
    for (auto &[rank, load] : m_ranks)
        load.calmRate += m_rules.newCalmWeight * (load.admittedRate - load.calmRate);
}

void AdaptiveAdmission::adaptCapacity(TimePoint now)
{
    const bool isKnown = m_pressureSamples >= m_rules.minSamples;
    const double pressure = isKnown ? m_pressureSum / m_pressureSamples : 0;
    if (pressure > 1) {
        cut(pressure, now);
        return;
    }
    // Without samples since the last decrease its effect is unknown.
    const bool isOpen = !isKnown && sum(&RankLoad::admittedRate) > 0;
    if (isOpen || pressure > m_rules.calmPressure)
        return;
    noteCalm();
    if (!isBounded())
        return;
    m_capacity *= m_rules.growth;
    if (m_capacity > sum(&RankLoad::demand) * m_rules.freeFactor)
        m_capacity = 0;
}

void AdaptiveAdmission::allot()
{
    double floors = 0; // guaranteed minimums of the ranks that are not allocated yet
    for (const auto &[rank, load] : m_ranks)
        floors += std::min(load.demand, m_rules.floorShare * m_capacity);
    double left = m_capacity;
    for (auto &[rank, load] : m_ranks) {
        if (!isBounded() || load.demand <= 0) {
            load.share = 1;
            continue;
        }
        const double floor = std::min(load.demand, m_rules.floorShare * m_capacity);
        floors -= floor;
        const double given = std::max(floor, std::min(load.demand, left - floors));
        left -= given;
        load.share = std::min(1.0, given / load.demand);
    }
}

} // namespace gwt
