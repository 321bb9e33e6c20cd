#pragma once

#include "control/ConfigObjects.h"
#include "entry/admission/ServiceLoadTable.h"
#include "policy/RankShareMeter.h"

#include <memory>
#include <string>
#include <vector>

namespace gwt {

/// \brief A query at admission.
struct AdmissionQuery
{
    std::string index;
    Rank rank;
    int higherRankCount = 0; ///< number of ranks of higher worth
    TimePoint deadline;
    std::vector<std::string> services; ///< all services that the query fans out to
};

/// \brief Decision on one query.
enum class AdmissionVerdict {
    Admitted,
    AtLimit, ///< a service is at its concurrency limit; may be admitted later
    Refused ///< cannot be answered by its deadline
};

/// \brief An admission decision and the shards that the query leaves out.
struct AdmissionDecision
{
    AdmissionVerdict verdict = AdmissionVerdict::Admitted;
    std::string reason; ///< why the query is not admitted; a metric label
    std::vector<std::string> skipped; ///< overloaded services that the query leaves out
};

/// \brief Decides whether a query may fan out now.
class AdmissionPolicy
{
public:
    virtual ~AdmissionPolicy() = default;
    virtual AdmissionDecision decide(const AdmissionQuery &query, const ServiceLoadTable &loads,
                                     const RankShareMeter &shares, TimePoint now) const = 0;
};

/// \brief Admits every query; the baseline for comparison.
class AdmitAllPolicy : public AdmissionPolicy
{
public:
    AdmissionDecision decide(const AdmissionQuery &query, const ServiceLoadTable &loads,
                             const RankShareMeter &shares, TimePoint now) const override;
};

/// \brief Parameters of RankedAdmission.
struct RankedAdmissionOptions
{
    double headroomPerRank = 0.25; ///< share of a limit reserved for each rank of higher worth
    double floorMargin = 1.1; ///< target share of the admitted work, as a multiple of the floor
    double minFloorLimit = 4; ///< min. concurrency limit of a rank below its floor
    double floorHeadroomPerRank = 0.15; ///< headroomPerRank of a rank below its floor
    double lowerWorthWeight = 0.25; ///< weight of a request of lower worth, against a rank's limit
    double weakCapacityShare = 0.7; ///< a service below this share of the median may be skipped
};

/// \brief Admits by rank within the services' concurrency limits.
///
/// Requests in flight of ranks of lower worth count only in part against a rank's limit, since the
/// relays' queues serve them later. Each rank leaves headroom to the ranks of higher worth. A rank
/// whose recent share of the admitted work is below its floor is limited by its own requests alone.
/// A floor that is not used is available to the other ranks.
class RankedAdmission : public AdmissionPolicy
{
public:
    explicit RankedAdmission(RankedAdmissionOptions options = {});

    AdmissionDecision decide(const AdmissionQuery &query, const ServiceLoadTable &loads,
                             const RankShareMeter &shares, TimePoint now) const override;

private:
    double limitOf(const AdmissionQuery &query, const ServiceLoadEstimate &load,
                   bool isBelowFloor) const;
    double weightedInFlight(const ServiceLoadEstimate &load, double worth) const;

    RankedAdmissionOptions m_options;
};

} // namespace gwt
