#include "entry/admission/AdmissionPolicy.h"

#include <algorithm>
#include <optional>

namespace gwt {

namespace {

/// \brief Maximum number of \a services that a query of \a rank may leave out.
std::size_t maxSkippedServices(const Rank &rank, std::size_t services)
{
    const double allowed = (1 - rank.minimumCoverage) * static_cast<double>(services);
    constexpr double rounding = 1e-9;
    return static_cast<std::size_t>(std::max(0.0, allowed + rounding));
}

} // namespace

AdmissionDecision AdmitAllPolicy::decide(const AdmissionQuery & /*query*/,
                                         const ServiceLoadTable & /*loads*/,
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
        const double limit = std::max(m_options.minFloorLimit, load.limit);
        return limit * (1 - m_options.floorHeadroomPerRank * query.higherRankCount);
    }
    return std::max(1.0, load.limit * (1 - m_options.headroomPerRank * query.higherRankCount));
}

double RankedAdmission::weightedInFlight(const ServiceLoadEstimate &load, double worth) const
{
    const int sameOrHigher = load.inFlightAtLeast(worth);
    return sameOrHigher + m_options.lowerWorthWeight * (load.inFlight - sameOrHigher);
}

AdmissionDecision RankedAdmission::decide(const AdmissionQuery &query,
                                          const ServiceLoadTable &loads,
                                          const RankShareMeter &shares, TimePoint now) const
{
    const double targetShare = query.rank.floorShare * m_options.floorMargin;
    const bool isBelowFloor = shares.shareOf(query.index, query.rank.name) < targetShare;
    std::optional<double> weakCapacityThreshold; // computed at the first late or full service
    const std::size_t maxSkips = maxSkippedServices(query.rank, query.services.size());
    AdmissionDecision decision;
    bool isLate = false;
    bool isFull = false;
    for (const std::string &service : query.services) {
        const ServiceLoadEstimate &load = loads.estimate(service);
        const Duration wait = load.queueDelayAt(now, query.rank.worth);
        const bool wouldBeLate = now + wait + load.serviceTime > query.deadline;
        const double inFlight = isBelowFloor ? load.inFlightOfWorth(query.rank.worth)
                                             : weightedInFlight(load, query.rank.worth);
        const bool isAtLimit = inFlight >= limitOf(query, load, isBelowFloor);
        if (!wouldBeLate && !isAtLimit)
            continue;
        if (!weakCapacityThreshold)
            weakCapacityThreshold
                = loads.medianCapacity(query.services) * m_options.weakCapacityShare;
        const bool isWeak = load.slots > 0 && load.capacity() < *weakCapacityThreshold;
        if (isWeak && decision.skipped.size() < maxSkips) {
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
        decision.verdict = AdmissionVerdict::AtLimit;
        decision.reason = "slices_busy";
    }
    return decision;
}

} // namespace gwt
