#include "gateway/policy/AdmissionTable.h"

#include "common/Log.h"

#include <algorithm>
#include <set>

namespace gwt {

namespace {

/// Share of the target within which half of the shards must have answered, so that the slower ones,
/// with a hedge for the slowest, still answer in time.
constexpr double halfAnsweredShare = 0.5;
/// Least pressure recorded for a query that ended before half of its shards had answered.
constexpr double minStalledPressure = 1.5;
constexpr Milliseconds adviceWindow{1000};
constexpr Milliseconds minRetryAfter{150}; ///< above the time for a refusal and a new connection
constexpr Milliseconds maxRetryAfter{3000};
/// A caller backs off for at most its remaining time divided by this.
constexpr int maxTimeLeftDivisor = 3;

double ratio(Duration time, Duration bound)
{
    return std::chrono::duration<double>(time)
        / std::chrono::duration<double>(std::max<Duration>(bound, Milliseconds(1)));
}

} // namespace

AdmissionTable::AdmissionTable(Factory makeControl)
    : m_makeControl(std::move(makeControl))
    , m_served(adviceWindow)
    , m_advice(adviceWindow, minRetryAfter, maxRetryAfter)
    , m_random(makeSeededEngine())
{ }

const std::string &AdmissionTable::shardSetKey(const Route &route)
{
    return route.isShardQuery() ? route.query.shards.front() : route.name;
}

AdmissionTable::ShardSet &AdmissionTable::shardSet(const Route &route)
{
    ShardSet &set = m_sets[shardSetKey(route)];
    if (!set.control)
        set.control = m_makeControl();
    return set;
}

void AdmissionTable::logLimitChange(const std::string &firstShard, ShardSet &set)
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

bool AdmissionTable::admit(const Route &route, int rank, double excess, Duration typicalLatency,
                           TimePoint now)
{
    ShardSet &set = shardSet(route);
    Duration &work = m_work.try_emplace(route.name, typicalLatency).first->second;
    // Under pressure the time of a shard request includes queueing, which is no work.
    if (!set.control->isBounded())
        work = typicalLatency;
    const bool isAdmitted = set.control->admit(rank, work, excess, now);
    logLimitChange(shardSetKey(route), set);
    return isAdmitted;
}

void AdmissionTable::recordHalfAnswered(const Route &route, int rank, TimePoint admittedAt,
                                        TimePoint now)
{
    control(route).record(rank, ratio(now - admittedAt, route.target) / halfAnsweredShare,
                          admittedAt, now);
}

void AdmissionTable::recordAbandoned(const Route &route, int rank, TimePoint admittedAt,
                                     TimePoint now)
{
    control(route).record(rank, std::nullopt, admittedAt, now);
}

void AdmissionTable::recordStalled(const Route &route, int rank, TimePoint admittedAt,
                                   TimePoint now)
{
    const double pressure = ratio(now - admittedAt, route.target) / halfAnsweredShare;
    control(route).record(rank, std::max(pressure, minStalledPressure), admittedAt, now);
}

void AdmissionTable::recordRefusal(const Route &route, int rank, TimePoint now)
{
    m_advice.addRefusal(shardSetKey(route), std::to_string(rank), now);
    m_lastRefusal[shardSetKey(route)] = now;
}

bool AdmissionTable::hasRecentRefusals(const Route &route, TimePoint now) const
{
    const auto refusedAt = m_lastRefusal.find(shardSetKey(route));
    return refusedAt != m_lastRefusal.end() && now - refusedAt->second < maxRetryAfter;
}

void AdmissionTable::recordServed(const Route &route, int rank, TimePoint now)
{
    m_served.add(shardSetKey(route), std::to_string(rank), now);
}

Milliseconds AdmissionTable::retryAfter(const Route &route, int rank, Duration timeLeft,
                                        TimePoint now)
{
    const double servedRate = m_served.rateOf(shardSetKey(route), std::to_string(rank), now);
    const Duration backoff
        = m_advice.retryAfter(shardSetKey(route), std::to_string(rank), servedRate, now);
    const auto maxBackoff = std::max<Duration>(minRetryAfter, timeLeft / maxTimeLeftDivisor);
    const auto bounded = std::chrono::duration_cast<Milliseconds>(std::min(backoff, maxBackoff));
    std::uniform_int_distribution<std::int64_t> jitter(minRetryAfter.count(),
                                                       std::max(minRetryAfter, bounded).count());
    return Milliseconds(jitter(m_random));
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
    std::set<std::string> shardSetKeys;
    std::set<std::string> routeNames;
    for (const Route &route : routes.config().routes) {
        shardSetKeys.insert(shardSetKey(route));
        routeNames.insert(route.name);
    }
    std::erase_if(m_sets, [&](const auto &each) { return !shardSetKeys.contains(each.first); });
    std::erase_if(m_lastRefusal,
                  [&](const auto &each) { return !shardSetKeys.contains(each.first); });
    std::erase_if(m_overdueQueues, [&](const auto &each) {
        return !shardSetKeys.contains(each.first) && each.second.isEmpty();
    });
    std::erase_if(m_work, [&](const auto &each) { return !routeNames.contains(each.first); });
}

} // namespace gwt
