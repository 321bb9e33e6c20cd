#include "gateway/GatewayStatus.h"

#include "common/StoreRevision.h"

namespace gwt {

namespace json = boost::json;

namespace {

std::int64_t milliseconds(Duration time)
{
    return std::chrono::duration_cast<Milliseconds>(time).count();
}

json::object describe(const RetryBudget::Usage &usage)
{
    return {{"allowed", usage.allowed}, {"hedges", usage.hedges}, {"repairs", usage.retries}};
}

json::object describe(const CostEstimator::RouteSummary &summary)
{
    const auto milliseconds
        = [](Duration time) { return std::chrono::duration<double, std::milli>(time).count(); };
    const auto samples = static_cast<double>(std::max<std::uint64_t>(1, summary.samples));
    return {{"samples", summary.samples},
            {"mean_ms", milliseconds(summary.mean)},
            {"spread_ms", milliseconds(summary.spread)},
            {"estimated_ms", milliseconds(summary.estimated) / samples},
            {"actual_ms", milliseconds(summary.actual) / samples},
            {"off_by_two", summary.offByTwo}};
}

json::object describe(const BackendServer &server, TimePoint now)
{
    const BackendEntry &entry = server.entry();
    return {{"id", entry.id},
            {"address", toString(entry.address)},
            {"availability_zone", entry.availabilityZone},
            {"is_draining", entry.isDraining},
            {"is_usable", server.isUsable()},
            {"is_evacuated", server.isEvacuated()},
            {"is_paused", server.score().isInBackoff(now)},
            {"slots", entry.slots},
            {"connections", server.connections()},
            {"in_flight", server.inFlight()},
            {"oldest_ms", milliseconds(server.oldestAttemptAge(now))},
            {"slowness", server.score().slowness(now)},
            {"failure_rate", server.score().failureRate(now)}};
}

json::object summarize(const std::string &service, const ServicePool &pool, int fleetSize,
                       TimePoint now)
{
    int usable = 0;
    int paused = 0;
    for (const auto &[id, server] : pool.servers()) {
        usable += server->isUsable() ? 1 : 0;
        paused += server->score().isInBackoff(now) ? 1 : 0;
    }
    return {{"service", service},
            {"servers", pool.servers().size()},
            {"usable", usable},
            {"paused", paused},
            {"connection_share", pool.connectionShare()},
            {"waiting", pool.queueLength()},
            {"open_legs", pool.openAttempts()},
            {"repeats", describe(pool.budget().usage(now, fleetSize))}};
}

} // namespace

GatewayStatus::GatewayStatus(const GatewayOptions &options, const GatewayCore &core,
                             const FleetState &state, const StateSharing &sharing)
    : m_options(options)
    , m_core(core)
    , m_fleetState(state)
    , m_sharing(sharing)
{ }

json::object GatewayStatus::header() const
{
    return {
        {"name", m_options.hostName}, {"role", "gateway"}, {"generation", m_core.configVersion()}};
}

json::object GatewayStatus::summary(bool isStopping, TimePoint now) const
{
    json::object status = header();
    const char *running = m_core.isReady() ? "ready" : "priming";
    status["state"] = isStopping ? "draining" : running;
    status["config"] = {{"version", m_core.configVersion()},
                        {"applied_ms_ago", milliseconds(now - m_core.configAppliedAt())}};
    status["registry"] = {{"revision", ownStoreRevisionOf(m_fleetState.backendRevision())},
                          {"era", storeEraOf(m_fleetState.backendRevision())},
                          {"is_watcher", m_sharing.isWatching()}};
    const bool hasRegistryState = m_fleetState.backendRevision() > 0;
    if (hasRegistryState) {
        const auto age = milliseconds(m_sharing.registryAge(now));
        status["registry"].as_object()["heard_ms_ago"] = age;
    }
    json::array fleet;
    for (const FleetMember &member : m_fleetState.members())
        fleet.push_back({{"name", member.name}, {"peer", toString(member.peer)}});
    status["fleet"] = std::move(fleet);
    json::array zones;
    for (const std::string &zone : m_core.backends().evacuatedZones())
        zones.emplace_back(zone);
    status["evacuated_zones"] = std::move(zones);
    json::array admission;
    for (const AdmissionTable::Bound &bound : m_core.admission().bounds()) {
        admission.push_back({{"first_shard", bound.firstShard},
                             {"is_bounded", bound.isBounded},
                             {"capacity", bound.capacity}});
    }
    status["admission"] = std::move(admission);
    if (m_core.costs()) {
        json::object costs;
        const auto summaries = m_core.costs()->summaries();
        for (const auto &[route, summary] : summaries)
            costs[route] = describe(summary);
        status["costs"] = std::move(costs);
    }
    json::array services;
    for (const auto &[service, pool] : m_core.backends().pools())
        services.push_back(summarize(service, *pool, m_core.fleetSize(), now));
    status["services"] = std::move(services);
    return status;
}

json::object GatewayStatus::service(const std::string &service, TimePoint now) const
{
    json::object status = header();
    json::array servers;
    const auto &pools = m_core.backends().pools();
    const auto pool = pools.find(service);
    if (pool != pools.end()) {
        status["summary"] = summarize(service, *pool->second, m_core.fleetSize(), now);
        for (const auto &[id, server] : pool->second->servers()) {
            json::object described = describe(*server, now);
            if (m_core.costs()) {
                const double pace = server->work().pace(now);
                described["pace"] = pace;
                const ServerWork::Span left = server->work().workLeft(pace, now);
                described["work_left_ms"]
                    = milliseconds(std::chrono::duration_cast<Duration>(left));
            }
            servers.push_back(std::move(described));
        }
    }
    status["servers"] = std::move(servers);
    return status;
}

} // namespace gwt
