#include "gateway/GatewayCore.h"

#include "common/Log.h"
#include "gateway/forwarding/Refusal.h"
#include "gateway/forwarding/ShardQueryRun.h"
#include "gateway/forwarding/SingleForward.h"
#include "gateway/policy/AdaptiveAdmission.h"

#include <algorithm>
#include <charconv>
#include <iterator>

namespace gwt {

namespace http = boost::beast::http;

namespace {

/// Kept free before the caller's deadline, so that the last answer still reaches it.
constexpr Milliseconds deadlineMargin{15};
constexpr std::size_t recordBytes = 16;
/// When to come back to a process that has just started.
constexpr Milliseconds startReturn{200};

std::optional<Milliseconds> readMilliseconds(std::string_view text)
{
    std::int64_t value = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (code != std::errc() || end != text.data() + text.size() || value < 0)
        return std::nullopt;
    return Milliseconds(value);
}

std::string_view viewOf(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

GatewayCore::GatewayCore(boost::asio::io_context &context, TimerQueue &timers,
                         GatewayOptions options, const HeaderNames &names, Metrics &metrics)
    : m_options(std::move(options))
    , m_names(names)
    , m_timers(timers)
    , m_metrics(metrics)
    , m_configAppliedAt(Clock::now())
    , m_fleetSize(m_options.assumedFleetSize)
    , m_registry(m_options.registryReturnGrace)
    , m_backends(PoolContext{context, timers, names, metrics, m_options.availabilityZone},
                 m_options.repeatBudget)
    , m_admission([] { return std::make_unique<AdaptiveAdmission>(); })
    , m_merge(recordBytes)
    , m_recorder(metrics)
    , m_forwarding{timers,  m_backends, m_hedges, m_delivery, m_admission,
                   m_merge, names,      metrics,  m_recorder, m_fleetSize}
{ }

void GatewayCore::onConfig(const RoutingConfig &config)
{
    const std::uint64_t held = configVersion();
    if (config.version <= held)
        return;
    logInfo("config_applied",
            {{"version", config.version},
             {"previous", held},
             {"routes", config.routes.size()},
             {"services", config.services.size()}});
    m_limits = config.limits;
    m_configAppliedAt = Clock::now();
    m_routes = std::make_shared<const RouteTable>(config);
    m_backends.setLimits(*m_routes, m_fleetSize);
    m_admission.retain(*m_routes);
    const std::set<std::string> names = m_routes->routeNames();
    m_hedges.retain(names);
    m_callerWaits.retain(names);
    m_split.retain(names);
}

void GatewayCore::onMembers(const std::vector<FleetMember> &members)
{
    const int size = static_cast<int>(members.size());
    if (size == m_fleetSize || size < 1)
        return;
    logInfo("fleet_size", {{"processes", size}, {"previous", m_fleetSize}});
    m_fleetSize = size;
    if (m_routes)
        m_backends.setLimits(*m_routes, m_fleetSize);
}

void GatewayCore::onBackends(const std::vector<BackendEntry> &entries)
{
    m_hasBackends = true;
    applyBackends(m_registry.replaceAll(entries, Clock::now()));
}

void GatewayCore::onBackendChanges(const std::vector<BackendChange> &changes)
{
    const TimePoint now = Clock::now();
    std::vector<BackendChange> effects;
    for (const BackendChange &change : changes) {
        auto applied
            = change.entry ? m_registry.update(*change.entry) : m_registry.remove(change.id, now);
        std::move(applied.begin(), applied.end(), std::back_inserter(effects));
    }
    applyBackends(effects);
}

void GatewayCore::onRegistryReturn()
{
    m_registry.noteReturn(Clock::now());
}

void GatewayCore::applyBackends(const std::vector<BackendChange> &changes)
{
    for (const BackendChange &change : changes) {
        if (!change.entry)
            logInfo("backend_gone", {{"backend", change.id}});
        else if (change.entry->isDraining)
            logInfo("backend_draining",
                    {{"backend", change.id}, {"service", change.entry->service}});
    }
    m_backends.apply(changes);
    scheduleExpiry();
}

void GatewayCore::scheduleExpiry()
{
    m_timers.cancel(m_expiryTimer);
    const auto due = m_registry.nextExpiry();
    if (due)
        m_expiryTimer
            = m_timers.at(*due, [this] { applyBackends(m_registry.expire(Clock::now())); });
}

void GatewayCore::refuse(CallerExchange &exchange, unsigned status, const std::string &reason,
                         std::optional<Milliseconds> retryAfter)
{
    constexpr int noRank = -1;
    const TimePoint now = Clock::now();
    m_recorder.countReason(RequestEnd::Refused, reason);
    if (m_recorder.record(RequestEnd::Refused, noRank, now - exchange.arrivedAt(), now)) {
        const WireRequest &request = exchange.request();
        logInfo("request_refused",
                {{"id", std::string(request[m_names.requestId])},
                 {"host", std::string(request[http::field::host])},
                 {"path", std::string(request.target())},
                 {"reason", reason},
                 {"status", status},
                 {"version", configVersion()}});
    }
    exchange.respond(makeRefusal(status, reason, retryAfter));
}

RequestPlan GatewayCore::plan(std::shared_ptr<CallerExchange> exchange, const Route &route)
{
    RequestPlan plan;
    plan.routes = m_routes;
    plan.route = &route;
    plan.request = std::make_shared<const ForwardRequest>(exchange->request(), m_names);
    Milliseconds limit = route.timeout.count() > 0 ? route.timeout : Milliseconds(30000);
    const auto asked = readMilliseconds(viewOf(exchange->request()[m_names.deadline]));
    if (asked) {
        limit = std::min(limit, std::max(*asked - deadlineMargin, *asked / 2));
        plan.waitedBefore = m_callerWaits.waitedBefore(route.name, *asked);
    }
    plan.deadline = exchange->arrivedAt() + limit;
    plan.exchange = std::move(exchange);
    return plan;
}

void GatewayCore::handle(std::shared_ptr<CallerExchange> exchange)
{
    const WireRequest &request = exchange->request();
    if (!m_routes) {
        refuse(*exchange, 503, "no_configuration", startReturn);
        return;
    }
    if (request.count(m_names.requestId) != 1) {
        refuse(*exchange, 400, "no_request_id");
        return;
    }
    const Route *route
        = m_routes->find(viewOf(request[http::field::host]), viewOf(request.target()));
    if (!route) {
        refuse(*exchange, 404, "no_route");
        return;
    }
    RequestPlan requestPlan = plan(std::move(exchange), *route);
    if (route->isShardQuery()) {
        std::make_shared<ShardQueryRun>(m_forwarding, std::move(requestPlan))->start();
        return;
    }
    const std::string &service = m_split.next(*route);
    std::make_shared<SingleForward>(m_forwarding, std::move(requestPlan), service)->start();
}

} // namespace gwt
