#pragma once

#include "control/ConfigObjects.h"
#include "entry/admission/SliceLoadTable.h"
#include "policy/RankShareMeter.h"

#include <memory>
#include <string>
#include <vector>

namespace gwt {

/// \brief A query that asks to be admitted.
struct AdmissionQuery
{
    std::string index;
    Rank rank;
    int higherRanks = 0; ///< ranks of greater worth
    TimePoint deadline;
    std::vector<std::string> services; ///< all services that it needs
};

enum class AdmissionVerdict { Admitted, Blocked, Refused };

/// \brief Outcome of one decision.
struct AdmissionDecision
{
    AdmissionVerdict verdict = AdmissionVerdict::Admitted;
    std::string reason; ///< of a query that is not admitted, as metric label
    std::vector<std::string> skipped; ///< overloaded services that the query does without
};

/// \brief Decides whether a query may fan out now. Blocked ones may be asked again later.
class AdmissionPolicy
{
public:
    virtual ~AdmissionPolicy() = default;
    virtual AdmissionDecision decide(const AdmissionQuery &query, const SliceLoadTable &loads,
                                     const RankShareMeter &shares, TimePoint now) const = 0;
};

/// \brief Baseline: admits every query.
class OpenAdmission : public AdmissionPolicy
{
public:
    AdmissionDecision decide(const AdmissionQuery &query, const SliceLoadTable &loads,
                             const RankShareMeter &shares, TimePoint now) const override;
};

/// \brief Knobs of RankedAdmission.
struct RankedAdmissionOptions
{
    double headroomPerRank = 0.25; ///< share of a limit left to each rank of greater worth
    double floorMargin = 1.1; ///< wanted share of the admitted work, as multiple of the floor
    double floorLegs = 4; ///< legs in flight that a rank below its floor may reach in any case
    double floorHeadroomPerRank = 0.15; ///< as headroomPerRank, for a rank below its floor
    double lesserLegWeight = 0.25; ///< of a leg of less worth, against a rank's limit
    double weakCapacity = 0.7; ///< a service below this share of the median may be skipped
};

/// \brief Admits by rank within the services' concurrency limits.
///
/// Legs of ranks of less worth count little against a rank, since the relays' queues serve them
/// later. A rank of less worth leaves headroom to the ranks above it. A rank whose recent share of
/// the admitted work is below its floor is bounded by its own legs alone. A floor that is not asked
/// for is lent.
class RankedAdmission : public AdmissionPolicy
{
public:
    explicit RankedAdmission(RankedAdmissionOptions options = {});

    AdmissionDecision decide(const AdmissionQuery &query, const SliceLoadTable &loads,
                             const RankShareMeter &shares, TimePoint now) const override;

private:
    double limitOf(const AdmissionQuery &query, const ServiceLoadEstimate &load,
                   bool isBelowFloor) const;
    double weightedLegs(const ServiceLoadEstimate &load, double worth) const;

    RankedAdmissionOptions m_options;
};

} // namespace gwt
