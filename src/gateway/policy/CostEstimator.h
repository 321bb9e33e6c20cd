#pragma once

#include "common/Time.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace gwt {

/// \brief What a request has in common with earlier ones that cost about the same.
struct CostKind
{
    CostKind() = default;
    /// \brief \a team is empty for an anonymous caller.
    CostKind(std::string routeName, std::string_view method, std::size_t bodyBytes,
             std::string_view team);

    std::string route;
    std::uint64_t byLength = 0; ///< hash of route, method and class of the body length
    std::uint64_t byTeam = 0; ///< hash of these and the team
};

/// \brief Where an estimate comes from, the most specific first.
enum class CostSource { Team, Length, Route, TypicalLatency };

/// \brief Expected cost of a request: its time at a server of usual speed, without waiting.
struct CostEstimate
{
    Duration mean{0};
    Duration spread{0}; ///< standard deviation
    CostSource source = CostSource::TypicalLatency;
};

struct CostEstimatorRules
{
    std::size_t maxKinds = 4096; ///< memory bound; 72 bytes each
    double minWeight = 8; ///< of the samples of a kind before its mean is used
    /// Bound on the weight of the past: a sample moves a mean by 1/64 at least, so that a shift of
    /// costs is followed.
    double maxWeight = 64;
    Duration halfLife = Milliseconds(30'000); ///< of the weight of samples
    double maxSampleRatio = 20; ///< cap of a sample, in means of its kind
};

/// \brief Learns the expected cost of requests by kind.
///
/// An estimate comes from the most specific kind that has enough samples: route, method, length and
/// team; without the team; the route. Kinds are kept in a table of fixed size, in which the kind
/// that was unused for longest among four gives way to a new one.
class CostEstimator
{
public:
    /// \brief Estimates of a route against the actual costs, over the life of the process.
    struct RouteSummary
    {
        std::uint64_t samples = 0;
        Duration mean{0}; ///< current
        Duration spread{0};
        Duration estimated{0}; ///< sum of the estimates
        Duration actual{0}; ///< sum of the actual costs
        std::uint64_t offByTwo = 0; ///< samples of less than half or more than twice the estimate
    };

    explicit CostEstimator(CostEstimatorRules rules = {});

    /// \brief Returns \a typicalLatency while not even the route has enough samples.
    CostEstimate estimate(const CostKind &kind, Duration typicalLatency, TimePoint now) const;
    /// \brief Records the actual \a cost of a request that was estimated as \a estimate.
    void record(const CostKind &kind, const CostEstimate &estimate, Duration cost, TimePoint now);
    /// \brief Removes the routes that \a routeNames does not contain.
    void retain(const std::set<std::string> &routeNames);
    std::map<std::string, RouteSummary> summaries() const;

private:
    struct Cell
    {
        std::uint64_t key = 0; ///< 0: unused
        double weight = 0; ///< of the samples at m_updated
        double mean = 0; ///< in seconds
        double variance = 0;
        TimePoint updated;
        TimePoint usableUntil; ///< when the weight falls below the minimum
        Duration estimatedMean{0}; ///< the same as mean, converted once
        Duration estimatedSpread{0};
    };

    struct RouteCell
    {
        Cell cell;
        RouteSummary summary;
    };

    double weightOf(const Cell &cell, TimePoint now) const;
    void add(Cell &cell, double seconds, TimePoint now) const;
    const Cell *find(std::uint64_t key) const;
    Cell &findOrReplace(std::uint64_t key);

    const CostEstimatorRules m_rules;
    std::vector<Cell> m_kinds; ///< sets of four cells; a key's set follows from the key
    std::map<std::string, RouteCell> m_routes;
};

} // namespace gwt
