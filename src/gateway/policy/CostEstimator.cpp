#include "gateway/policy/CostEstimator.h"

#include <algorithm>
#include <array>
#include <bit>
#include <cmath>

namespace gwt {

namespace {

constexpr std::size_t setSize = 4; ///< cells that a kind may be stored in

/// Mixes \a value into \a seed (the finalizer of SplitMix64).
std::uint64_t mix(std::uint64_t seed, std::uint64_t value)
{
    std::uint64_t mixed = seed ^ (value + 0x9e3779b97f4a7c15ULL + (seed << 6));
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31);
}

std::uint64_t hashOf(std::string_view text)
{
    return std::hash<std::string_view>()(text);
}

/// Callers may send any method; the less common ones count as one, so that they create no kinds.
std::uint64_t methodClass(std::string_view method)
{
    constexpr std::array<std::string_view, 5> common{"GET", "POST", "PUT", "DELETE", "HEAD"};
    return static_cast<std::uint64_t>(std::find(common.begin(), common.end(), method)
                                      - common.begin());
}

/// Classes of lengths grow by factors of four.
std::uint64_t lengthClass(std::size_t bytes)
{
    return (static_cast<std::uint64_t>(std::bit_width(bytes)) + 1) / 2;
}

double toSeconds(Duration time)
{
    return std::chrono::duration<double>(time).count();
}

Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

CostKind::CostKind(std::string routeName, std::string_view method, std::size_t bodyBytes,
                   std::string_view team)
    : route(std::move(routeName))
    , byLength(mix(mix(hashOf(route), methodClass(method)), lengthClass(bodyBytes)) | 1)
    , byTeam(mix(byLength, hashOf(team)) | 1)
{ }

CostEstimator::CostEstimator(CostEstimatorRules rules)
    : m_rules(rules)
    , m_kinds(std::max(setSize, rules.maxKinds / setSize * setSize))
{ }

double CostEstimator::weightOf(const Cell &cell, TimePoint now) const
{
    const double halfLives = toSeconds(now - cell.updated) / toSeconds(m_rules.halfLife);
    return cell.weight * std::exp2(-std::max(0.0, halfLives));
}

void CostEstimator::add(Cell &cell, double seconds, TimePoint now) const
{
    const double former = weightOf(cell, now);
    if (former >= m_rules.minWeight)
        seconds = std::min(seconds, m_rules.maxSampleRatio * cell.mean);
    cell.weight = std::min(former + 1, m_rules.maxWeight);
    const double delta = seconds - cell.mean;
    cell.mean += delta / cell.weight;
    cell.variance += (delta * (seconds - cell.mean) - cell.variance) / cell.weight;
    cell.updated = now;
    const double halfLives = std::log2(cell.weight / m_rules.minWeight);
    cell.usableUntil = now + fromSeconds(halfLives * toSeconds(m_rules.halfLife));
    cell.estimatedMean = fromSeconds(cell.mean);
    cell.estimatedSpread = fromSeconds(std::sqrt(cell.variance));
}

const CostEstimator::Cell *CostEstimator::find(std::uint64_t key) const
{
    const std::size_t sets = m_kinds.size() / setSize;
    const Cell *first = &m_kinds[key / 2 % sets * setSize];
    const Cell *cell
        = std::find_if(first, first + setSize, [&](const Cell &each) { return each.key == key; });
    return cell == first + setSize ? nullptr : cell;
}

CostEstimator::Cell &CostEstimator::findOrReplace(std::uint64_t key)
{
    const std::size_t sets = m_kinds.size() / setSize;
    Cell *first = &m_kinds[key / 2 % sets * setSize];
    Cell *cell
        = std::find_if(first, first + setSize, [&](const Cell &each) { return each.key == key; });
    if (cell != first + setSize)
        return *cell;
    cell = std::min_element(first, first + setSize, [](const Cell &left, const Cell &right) {
        return left.updated < right.updated;
    });
    *cell = {};
    cell->key = key;
    return *cell;
}

CostEstimate CostEstimator::estimate(const CostKind &kind, Duration typicalLatency,
                                     TimePoint now) const
{
    if (const Cell *cell = find(kind.byTeam); cell && now <= cell->usableUntil)
        return {cell->estimatedMean, cell->estimatedSpread, CostSource::Team};
    if (const Cell *cell = find(kind.byLength); cell && now <= cell->usableUntil)
        return {cell->estimatedMean, cell->estimatedSpread, CostSource::Length};
    const auto route = m_routes.find(kind.route);
    if (route != m_routes.end() && now <= route->second.cell.usableUntil) {
        const Cell &cell = route->second.cell;
        return {cell.estimatedMean, cell.estimatedSpread, CostSource::Route};
    }
    return {typicalLatency, typicalLatency, CostSource::TypicalLatency};
}

void CostEstimator::record(const CostKind &kind, const CostEstimate &estimate, Duration cost,
                           TimePoint now)
{
    const double seconds = toSeconds(cost);
    add(findOrReplace(kind.byTeam), seconds, now);
    add(findOrReplace(kind.byLength), seconds, now);
    RouteCell &route = m_routes[kind.route];
    add(route.cell, seconds, now);
    RouteSummary &summary = route.summary;
    ++summary.samples;
    summary.estimated += estimate.mean;
    summary.actual += cost;
    if (cost < estimate.mean / 2 || cost > estimate.mean * 2)
        ++summary.offByTwo;
}

void CostEstimator::retain(const std::set<std::string> &routeNames)
{
    std::erase_if(m_routes, [&](const auto &each) { return !routeNames.contains(each.first); });
}

std::map<std::string, CostEstimator::RouteSummary> CostEstimator::summaries() const
{
    std::map<std::string, RouteSummary> summaries;
    for (const auto &[name, route] : m_routes) {
        RouteSummary &summary = summaries[name] = route.summary;
        summary.mean = route.cell.estimatedMean;
        summary.spread = route.cell.estimatedSpread;
    }
    return summaries;
}

} // namespace gwt
