#include "gateway/policy/AdmissionTable.h"

#include "common/Log.h"

#include <algorithm>
#include <set>

namespace gwt {

namespace {

/// Share of the target within which half of the shards must have answered, so that the slower ones,
/// with a hedge for the slowest, still answer in time.
constexpr double halfTimeShare = 0.5;
/// Least pressure recorded for a query that ended before half of its shards had answered.
constexpr double stalledPressure = 1.5;
constexpr Milliseconds adviceWindow{1000};
constexpr Milliseconds shortestReturn{150}; ///< above the time for a refusal and a new connection
constexpr Milliseconds longestReturn{3000};
/// A caller backs off for at most its remaining time divided by this.
constexpr int longestPart = 3;

double ratio(Duration time, Duration bound)
{
    return std::chrono::duration<double>(time)
        / std::chrono::duration<double>(std::max<Duration>(bound, Milliseconds(1)));
}

} // namespace

AdmissionTable::AdmissionTable(Factory makeControl)
    : m_makeControl(std::move(makeControl))
    , m_served(adviceWindow)
    , m_advice(adviceWindow, shortestReturn, longestReturn)
    , m_random(makeSeededEngine())
{ }

const std::string &AdmissionTable::setOf(const Route &route)
{
    return route.isShardQuery() ? route.query.shards.front() : route.name;
}

std::string AdmissionTable::rankOf(const Route &route)
{
    return std::to_string(route.rank);
}

AdmissionTable::ShardSet &AdmissionTable::shardSet(const Route &route)
{
    ShardSet &set = m_sets[setOf(route)];
    if (!set.control)
        set.control = m_makeControl();
    return set;
}

void AdmissionTable::logBound(const std::string &firstShard, ShardSet &set)
{
    if (set.control->isBounded() == set.isBounded)
        return;
    set.isBounded = set.control->isBounded();
    if (set.isBounded)
        logInfo("admission_bounded",
                {{"first_shard", firstShard}, {"capacity", set.control->capacity()}});
    else
        logInfo("admission_lifted", {{"first_shard", firstShard}});
}

bool AdmissionTable::admit(const Route &route, Duration usual, TimePoint now)
{
    ShardSet &set = shardSet(route);
    Duration &work = m_work.try_emplace(route.name, usual).first->second;
    // Under pressure the time of a shard request includes queueing, which is no work.
    if (!set.control->isBounded())
        work = usual;
    const bool isAdmitted = set.control->admit(route.rank, work, now);
    logBound(setOf(route), set);
    return isAdmitted;
}

void AdmissionTable::recordHalfAnswered(const Route &route, TimePoint admittedAt, TimePoint now)
{
    control(route).record(route.rank, ratio(now - admittedAt, route.target) / halfTimeShare,
                          admittedAt, now);
}

void AdmissionTable::recordAbandoned(const Route &route, TimePoint admittedAt, TimePoint now)
{
    control(route).record(route.rank, std::nullopt, admittedAt, now);
}

void AdmissionTable::recordStalled(const Route &route, TimePoint admittedAt, TimePoint now)
{
    const double pressure = ratio(now - admittedAt, route.target) / halfTimeShare;
    control(route).record(route.rank, std::max(pressure, stalledPressure), admittedAt, now);
}

void AdmissionTable::recordRefusal(const Route &route, TimePoint now)
{
    m_advice.addRefusal(setOf(route), rankOf(route), now);
    m_refusedAt[setOf(route)] = now;
}

bool AdmissionTable::hasRecentRefusals(const Route &route, TimePoint now) const
{
    const auto refusedAt = m_refusedAt.find(setOf(route));
    return refusedAt != m_refusedAt.end() && now - refusedAt->second < longestReturn;
}

void AdmissionTable::recordServed(const Route &route, TimePoint now)
{
    m_served.add(setOf(route), rankOf(route), now);
}

Milliseconds AdmissionTable::retryAfter(const Route &route, Duration timeLeft, TimePoint now)
{
    const double servedRate = m_served.rateOf(setOf(route), rankOf(route), now);
    const Duration advice = m_advice.retryAfter(setOf(route), rankOf(route), servedRate, now);
    const auto longest = std::max<Duration>(shortestReturn, timeLeft / longestPart);
    const auto bounded = std::chrono::duration_cast<Milliseconds>(std::min(advice, longest));
    std::uniform_int_distribution<std::int64_t> spread(shortestReturn.count(),
                                                       std::max(shortestReturn, bounded).count());
    return Milliseconds(spread(m_random));
}

std::vector<AdmissionTable::Bound> AdmissionTable::bounds() const
{
    std::vector<Bound> bounds;
    for (const auto &[firstShard, set] : m_sets)
        bounds.push_back({firstShard, set.isBounded, set.control->capacity()});
    return bounds;
}

void AdmissionTable::retain(const RouteTable &routes)
{
    std::set<std::string> named;
    std::set<std::string> routeNames;
    for (const Route &route : routes.config().routes) {
        named.insert(setOf(route));
        routeNames.insert(route.name);
    }
    std::erase_if(m_sets, [&](const auto &each) { return !named.contains(each.first); });
    std::erase_if(m_refusedAt, [&](const auto &each) { return !named.contains(each.first); });
    std::erase_if(m_lanes, [&](const auto &each) {
        return !named.contains(each.first) && each.second.isEmpty();
    });
    std::erase_if(m_work, [&](const auto &each) { return !routeNames.contains(each.first); });
}

} // namespace gwt
