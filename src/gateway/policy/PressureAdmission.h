#pragma once

#include "gateway/policy/AdmissionControl.h"

#include <map>

namespace gwt {

/// \brief Figures of PressureAdmission, set by the flood trials of docs/POLICY.md.
struct PressureAdmissionRules
{
    Duration interval = Milliseconds(200); ///< between adaptations; a few queries of calm traffic
    Duration longestInterval = std::chrono::seconds(1); ///< of a process with little traffic
    int minSamples = 2; ///< queries whose pressure makes an interval count
    double strongestCut = 0.5; ///< of the capacity, at once
    double leastCalmShare = 0.6; ///< of the calm rate, below which the capacity is not cut
    double growth = 1.1; ///< of the capacity in an interval without pressure
    double calmPressure = 0.8; ///< below it the capacity grows
    double freeFactor = 1.5; ///< capacity over demand at which the bound is lifted
    int fullSamples = 8; ///< queries whose pressure is taken at its full weight
    int leastUnanswered = 4; ///< admitted queries of a rank that may always be without an answer
    /// The same, in multiples of the work that is in progress in calm.
    double unansweredFactor = 6;
    double floorShare = 0.12; ///< of the capacity, which each rank has at least
    double newDemandWeight = 0.5; ///< of the last interval in the moving demand
    double newCalmWeight = 0.1; ///< of the last interval in the moving calm rate
};

/// \brief Admits queries by rank within a capacity that it learns from the pressure.
///
/// Answers the pattern of one rank flooding in beyond what all backend servers together can do:
/// without a bound each query waits, and all of them miss their target. The capacity is cut while
/// queries show pressure and grows again without. It goes to the ranks in order of urgency; each
/// has a floor, so that a flood of the most urgent leaves something to the others, and what a rank
/// does not ask for is lent. A pause of single backend servers raises no pressure. Pure decision
/// code.
class PressureAdmission : public AdmissionControl
{
public:
    explicit PressureAdmission(PressureAdmissionRules rules = {});

    bool admit(int rank, Duration work, TimePoint now) override;
    void record(int rank, std::optional<double> pressure, TimePoint admittedAt,
                TimePoint now) override;

    /// \brief Share of the queries of \a rank that are admitted now.
    double admittedShare(int rank) const;
    double capacity() const override { return m_capacity; }

private:
    struct RankLoad
    {
        double offered = 0; ///< work in the interval in progress, seconds
        double admitted = 0;
        double admittedRate = 0; ///< work admitted in a second of the last interval
        double demand = 0; ///< moving mean of the work offered in a second
        double share = 1; ///< of the queries that are admitted
        double credit = 0; ///< admits one query when it reaches one
        double calmRate = 0; ///< moving mean of the work admitted in a second without pressure
        int unanswered = 0; ///< admitted queries that have not shown their pressure
    };

    void adapt(TimePoint now);
    void adaptCapacity(TimePoint now);
    void noteCalm();
    bool hasRoom(const RankLoad &load) const;
    double sum(double RankLoad::*part) const;
    void cut(double pressure, TimePoint now);
    void allot();

    const PressureAdmissionRules m_rules;
    std::map<int, RankLoad> m_ranks; ///< most urgent first
    double m_capacity = 0; ///< work admitted in a second; 0: without a bound
    TimePoint m_cutAt; ///< queries that were admitted before show the load before the cut
    double m_pressureSum = 0;
    int m_pressureSamples = 0;
    TimePoint m_intervalStart;
};

} // namespace gwt
