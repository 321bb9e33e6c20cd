#pragma once

#include "common/Random.h"
#include "gateway/policy/AdmissionControl.h"

#include <map>

namespace gwt {

/// \brief Parameters of AdaptiveAdmission; docs/POLICY.md has the flood trials behind them.
struct AdaptiveAdmissionRules
{
    Duration interval = Milliseconds(200); ///< between adaptations; a few queries of normal traffic
    Duration maxInterval = std::chrono::seconds(1); ///< for a process with little traffic
    int minSamples = 2; ///< with fewer samples the pressure of an interval is unknown
    double minDecreaseFactor = 0.5; ///< lowest factor of a single decrease of the capacity
    double minNormalRateShare = 0.6; ///< lower bound of the capacity, as a share of the normal rate
    double growthFactor = 1.1; ///< factor of the capacity per interval without pressure
    double maxGrowthPressure = 0.8; ///< the capacity grows up to this pressure
    double limitLiftRatio = 1.5; ///< ratio of capacity to demand above which the limit is lifted
    int fullWeightSamples = 8; ///< samples from which on the pressure has its full weight
    int minUnansweredLimit = 4; ///< minimum limit on the unanswered queries of a rank
    /// Limit on the unanswered queries of a rank, in multiples of its normal concurrency.
    double unansweredFactor = 6;
    /// Share of that limit from which on teams with excess leave the rest to the others.
    double scarceUnansweredShare = 0.5;
    double guaranteedShare = 0.12; ///< share of the capacity that is guaranteed to each rank
    /// Share at which a team with excess is admitted at least, in relation to its whole rank.
    double minTeamShare = 0.25;
    double demandWeight = 0.5; ///< weight of the last interval in the average demand
    double normalRateWeight = 0.1; ///< weight of the last interval in the average normal rate
};

/// \brief Admits queries by rank within a capacity that adapts to the measured pressure.
///
/// Handles one rank flooding in beyond what all backend servers together can serve: without a limit
/// every query queues, and all of them miss their target. The capacity decreases while queries
/// measure pressure and grows again without it. It is allocated to the ranks in order of urgency.
/// Each rank has a guaranteed minimum, so that a flood of the most urgent rank doesn't starve the
/// others; what a rank doesn't use goes to the others. A pause of single backend servers raises no
/// pressure. Does no I/O.
///
/// Also handles one team flooding in within a rank: while capacity is scarce, the queries of a
/// team with excess e are first thinned to one in e, which is its usual rate, and then compete with
/// the others. docs/design/fairness.md has the reasons.
class AdaptiveAdmission : public AdmissionControl
{
public:
    explicit AdaptiveAdmission(AdaptiveAdmissionRules rules = {},
                               const RandomEngine &random = makeSeededEngine());

    using AdmissionControl::admit;
    bool admit(int rank, Duration work, double excess, TimePoint now) override;
    void record(int rank, std::optional<double> pressure, TimePoint admittedAt,
                TimePoint now) override;

    /// \brief Share of the queries of \a rank that is currently admitted.
    double admittedShare(int rank) const;
    double capacity() const override { return m_capacity; }

private:
    struct RankLoad
    {
        double offered = 0; ///< work offered in the current interval, in seconds
        double admitted = 0; ///< work admitted in the current interval, in seconds
        double admittedRate = 0; ///< work admitted per second in the last interval
        double demand = 0; ///< moving average of the work offered per second
        double fairOffered = 0; ///< work offered in the current interval, after thinning
        double fairDemand = 0; ///< moving average of it per second
        double plainOffered = 0; ///< work of callers without excess in the current interval
        double plainDemand = 0; ///< moving average of it per second
        double share = 1; ///< share of the queries to admit, of those that remain after thinning
        double fairPart = 1; ///< fair demand in relation to the demand
        double thinningFactor = 1; ///< raises the part that remains while capacity is unused
        double credit = 0; ///< accumulated share; a query is admitted when it reaches one
        double normalRate = 0; ///< moving average of the work admitted per second without pressure
        int unanswered = 0; ///< admitted queries whose pressure is not recorded yet
    };

    /// \brief Part of the queries of a team with \a excess that corresponds to its usual rate.
    double usualPart(const RankLoad &load, double excess) const;
    bool passesThinning(const RankLoad &load, double excess);
    void adapt(TimePoint now);
    void adaptCapacity(TimePoint now);
    void updateNormalRates();
    /// \brief Limit on the unanswered queries of the rank.
    double unansweredLimit(const RankLoad &load) const;
    /// \brief True while teams with excess are thinned.
    bool isScarce(const RankLoad &load) const;
    double sum(double RankLoad::*field) const;
    void decreaseCapacity(double pressure, TimePoint now);
    /// \brief Capacity that admits enough queries to measure the pressure in each interval.
    double probingRate() const;
    void allocateCapacity();
    /// \brief Returns the capacity that is left after the fair demand of all ranks.
    double allocateFairDemand();
    /// \brief Allocates \a unused, capacity that is left, to teams with excess.
    void allocateUnused(double unused);

    const AdaptiveAdmissionRules m_rules;
    RandomEngine m_random;
    std::map<int, RankLoad> m_ranks; ///< most urgent first
    double m_capacity = 0; ///< limit on the work admitted per second; 0 without a limit
    /// Time of the last decrease. Queries admitted before it measure the earlier load and are
    /// ignored.
    TimePoint m_decreasedAt;
    double m_queryWork = 0; ///< work of the last query offered, in seconds
    double m_pressureSum = 0;
    int m_pressureSamples = 0;
    TimePoint m_intervalStart;
};

} // namespace gwt
