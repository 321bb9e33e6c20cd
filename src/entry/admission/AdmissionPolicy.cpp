#include "entry/admission/AdmissionPolicy.h"

#include <algorithm>
#include <optional>

namespace gwt {

namespace {

/// \brief Maximum number of \a services that a query of \a rank may leave out.
std::size_t allowedSkips(const Rank &rank, std::size_t services)
{
    const double allowed = (1 - rank.minimumCoverage) * static_cast<double>(services);
    constexpr double rounding = 1e-9;
    return static_cast<std::size_t>(std::max(0.0, allowed + rounding));
}

} // namespace

AdmissionDecision OpenAdmission::decide(const AdmissionQuery & /*query*/,
                                        const SliceLoadTable & /*loads*/,
                                        const RankShareMeter & /*shares*/, TimePoint /*now*/) const
{
    return {};
}

RankedAdmission::RankedAdmission(RankedAdmissionOptions options)
    : m_options(options)
{ }

double RankedAdmission::limitOf(const AdmissionQuery &query, const ServiceLoadEstimate &load,
                                bool isBelowFloor) const
{
    if (isBelowFloor) {
        const double limit = std::max(m_options.floorLegs, load.limit);
        return limit * (1 - m_options.floorHeadroomPerRank * query.higherRanks);
    }
    return std::max(1.0, load.limit * (1 - m_options.headroomPerRank * query.higherRanks));
}

double RankedAdmission::weightedLegs(const ServiceLoadEstimate &load, double worth) const
{
    const int from = load.inFlightFrom(worth);
    return from + m_options.lesserLegWeight * (load.inFlight - from);
}

AdmissionDecision RankedAdmission::decide(const AdmissionQuery &query, const SliceLoadTable &loads,
                                          const RankShareMeter &shares, TimePoint now) const
{
    const double wantedShare = query.rank.floorShare * m_options.floorMargin;
    const bool isBelowFloor = shares.shareOf(query.index, query.rank.name) < wantedShare;
    std::optional<double> weakCapacity; // computed at the first late or full service
    const std::size_t mostSkips = allowedSkips(query.rank, query.services.size());
    AdmissionDecision decision;
    bool isLate = false;
    bool isFull = false;
    for (const std::string &service : query.services) {
        const ServiceLoadEstimate &load = loads.estimate(service);
        const Duration wait = load.queueDelayAt(now, query.rank.worth);
        const bool wouldBeLate = now + wait + load.serviceTime > query.deadline;
        const double legs = isBelowFloor ? load.inFlightOf(query.rank.worth)
                                         : weightedLegs(load, query.rank.worth);
        const bool isAtLimit = legs >= limitOf(query, load, isBelowFloor);
        if (!wouldBeLate && !isAtLimit)
            continue;
        if (!weakCapacity)
            weakCapacity = loads.medianCapacity(query.services) * m_options.weakCapacity;
        const bool isWeak = load.slots > 0 && load.capacity() < *weakCapacity;
        if (isWeak && decision.skipped.size() < mostSkips) {
            decision.skipped.push_back(service);
            continue;
        }
        isLate |= wouldBeLate;
        isFull |= isAtLimit;
    }
    if (isLate) {
        decision.verdict = AdmissionVerdict::Refused;
        decision.reason = "too_late";
    } else if (isFull) {
        decision.verdict = AdmissionVerdict::Blocked;
        decision.reason = "slices_busy";
    }
    return decision;
}

} // namespace gwt
