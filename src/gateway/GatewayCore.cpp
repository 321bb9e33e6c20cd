#include "gateway/GatewayCore.h"

#include "common/Log.h"
#include "gateway/backends/LatencyPicker.h"
#include "gateway/backends/WorkLeftPicker.h"
#include "gateway/forwarding/Refusal.h"
#include "gateway/forwarding/ShardQueryRun.h"
#include "gateway/forwarding/SingleForward.h"
#include "gateway/policy/AdaptiveAdmission.h"
#include "gateway/quota/QuotaRanges.h"

#include <algorithm>
#include <charconv>
#include <iterator>

namespace gwt {

namespace {

/// Taken off the caller's deadline, so that a response sent at the last moment still arrives in
/// time.
constexpr Milliseconds deadlineMargin{15};
constexpr std::size_t recordBytes = 16;
/// Retry-After of a process that is stopping; the others can serve the request at once.
constexpr Milliseconds stopRetryAfter{20};
/// Multiple of the typical latency that must be left for a request that may run only once: if it is
/// ended, its caller cannot repeat it.
constexpr int unsafeFinishMargin = 4;
/// Longest wait for the quota of a team: well above a call to another host, below any target.
constexpr Milliseconds maxQuotaWait{30};
constexpr int quotaWaitDivisor = 2; ///< and the part of the target that it may take
/// Retry-After of a request whose quota could not be checked. The caller then reaches another host.
constexpr Milliseconds unknownQuotaRetryAfter{200};
/// Retry-After of a request beyond the quota, which refills all the time.
constexpr Milliseconds overQuotaRetryAfter{1000};

std::optional<Milliseconds> readMilliseconds(std::string_view text)
{
    std::int64_t value = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (code != std::errc() || end != text.data() + text.size() || value < 0)
        return std::nullopt;
    return Milliseconds(value);
}

bool learnsCosts(PickerKind picker)
{
    return picker == PickerKind::WorkLeft;
}

std::unique_ptr<BackendPicker> makePicker(PickerKind picker)
{
    if (picker == PickerKind::WorkLeft)
        return std::make_unique<WorkLeftPicker>();
    return std::make_unique<LatencyPicker>();
}

} // namespace

GatewayCore::GatewayCore(boost::asio::io_context &context, TimerQueue &timers,
                         GatewayOptions options, const HeaderNames &headerNames, Metrics &metrics,
                         QuotaGate *quota)
    : m_options(std::move(options))
    , m_headerNames(headerNames)
    , m_timers(timers)
    , m_metrics(metrics)
    , m_configAppliedAt(Clock::now())
    , m_fleetSize(m_options.assumedFleetSize)
    , m_registry(m_options.registryRecoveryGrace)
    , m_memory(m_options.hostLimits)
    , m_holds(headerNames, metrics)
    , m_costs(learnsCosts(m_options.picker) ? std::make_unique<CostEstimator>() : nullptr)
    , m_costRecorder(m_costs ? std::make_unique<CostRecorder>(*m_costs, metrics) : nullptr)
    , m_picker(makePicker(m_options.picker))
    , m_backends(PoolContext{context, timers, headerNames, metrics, m_options.availabilityZone,
                             m_memory.replies(), m_holds, *m_picker, m_costRecorder.get()},
                 m_options.retryBudget)
    , m_admission([] { return std::make_unique<AdaptiveAdmission>(); })
    , m_merge(recordBytes)
    , m_recorder(metrics)
    , m_forwarding{timers,  m_backends,  m_hedges, m_deadlines, m_delivery,  m_admission,
                   m_merge, headerNames, metrics,  m_recorder,  m_fleetSize, m_costs.get()}
    , m_quota(quota)
    , m_keyProofLimit(m_options.keyProofLimit)
{ }

void GatewayCore::onConfig(const RoutingConfig &config)
{
    const std::uint64_t previousVersion = configVersion();
    if (config.version <= previousVersion)
        return;
    logInfo("config_applied",
            {{"version", config.version},
             {"previous", previousVersion},
             {"routes", config.routes.size()},
             {"services", config.services.size()}});
    m_limits = config.limits;
    m_limits.isInForce = true;
    m_configAppliedAt = Clock::now();
    m_routes = std::make_shared<const RouteTable>(config);
    m_backends.setConnectionLimits(*m_routes, m_fleetSize);
    m_admission.retain(*m_routes);
    const std::set<std::string> routeNames = m_routes->routeNames();
    m_hedges.retain(routeNames);
    m_deadlines.retain(routeNames);
    m_recorder.setTeams(config.teams);
    if (m_costs)
        m_costs->retain(routeNames);
    m_callerWaits.retain(routeNames);
    m_weightedSplit.retain(routeNames);
}

void GatewayCore::onMembers(const std::vector<FleetMember> &members)
{
    const int size = static_cast<int>(members.size());
    if (size == m_fleetSize || size < 1)
        return;
    logInfo("fleet_size", {{"processes", size}, {"previous", m_fleetSize}});
    m_fleetSize = size;
    if (m_routes)
        m_backends.setConnectionLimits(*m_routes, m_fleetSize);
}

void GatewayCore::onBackends(const std::vector<BackendEntry> &entries)
{
    m_hasBackends = true;
    applyBackends(m_registry.replaceAll(entries, Clock::now()));
}

void GatewayCore::onBackendChanges(const std::vector<BackendChange> &changes)
{
    const TimePoint now = Clock::now();
    std::vector<BackendChange> effectiveChanges;
    for (const BackendChange &change : changes) {
        auto applied
            = change.entry ? m_registry.update(*change.entry) : m_registry.remove(change.id, now);
        std::move(applied.begin(), applied.end(), std::back_inserter(effectiveChanges));
    }
    applyBackends(effectiveChanges);
}

void GatewayCore::onEvacuations(const std::set<std::string> &zones)
{
    const std::set<std::string> previous = m_backends.evacuatedZones();
    for (const std::string &zone : zones) {
        if (!previous.contains(zone))
            logWarning("zone_evacuated", {{"availability_zone", zone}});
    }
    for (const std::string &zone : previous) {
        if (!zones.contains(zone))
            logInfo("zone_evacuation_ended", {{"availability_zone", zone}});
    }
    m_metrics
        .gauge("gwt_gateway_evacuated_zones",
               "Availability zones to whose backend servers nothing is sent")
        .Set(static_cast<double>(zones.size()));
    m_backends.setEvacuatedZones(zones);
}

void GatewayCore::onRegistryRecovery()
{
    m_registry.startGracePeriod(Clock::now());
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
    const auto expiry = m_registry.nextExpiry();
    if (expiry)
        m_expiryTimer
            = m_timers.at(*expiry, [this] { applyBackends(m_registry.expire(Clock::now())); });
}

void GatewayCore::refuse(CallerExchange &exchange, unsigned status, const std::string &reason,
                         std::optional<Milliseconds> retryAfter, const Team *team,
                         std::vector<LogField> details)
{
    constexpr int noRank = -1;
    const TimePoint now = Clock::now();
    m_recorder.countReason(RequestEnd::Refused, reason);
    if (m_recorder.record(RequestEnd::Refused, noRank, team, now - exchange.arrivedAt(), now)) {
        const WireRequest &request = exchange.request();
        std::vector<LogField> fields{{"id", std::string(request.field(m_headerNames.requestId))},
                                     {"host", std::string(request.field("Host"))},
                                     {"path", request.target},
                                     {"reason", reason},
                                     {"status", status},
                                     {"version", configVersion()}};
        if (team)
            fields.emplace_back("team", team->name);
        fields.insert(fields.end(), details.begin(), details.end());
        logInfo("request_refused", fields);
    }
    exchange.respond(makeRefusal(status, reason, retryAfter));
}

RequestPlan GatewayCore::plan(std::shared_ptr<CallerExchange> exchange, const Route &route)
{
    RequestPlan plan;
    plan.routes = m_routes;
    plan.route = &route;
    Milliseconds limit = route.timeout.count() > 0 ? route.timeout : Milliseconds(30000);
    const auto callerTimeout = readMilliseconds(exchange->request().field(m_headerNames.deadline));
    if (callerTimeout) {
        limit = std::min(limit, std::max(*callerTimeout - deadlineMargin, *callerTimeout / 2));
        plan.waitedBefore = m_callerWaits.waitedBefore(route.name, *callerTimeout);
    }
    plan.deadline = exchange->arrivedAt() + limit;
    plan.rank = route.rank;
    plan.exchange = std::move(exchange);
    return plan;
}

bool GatewayCore::canFinish(const Route &route, TimePoint now) const
{
    if (m_stopTime == TimePoint::max())
        return true;
    const int margin = route.isIdempotent ? 1 : unsafeFinishMargin;
    return now + margin * m_hedges.typicalLatency(route.name, route.target) < m_stopTime;
}

void GatewayCore::handle(std::shared_ptr<CallerExchange> exchange)
{
    const WireRequest &request = exchange->request();
    if (!m_routes) {
        refuse(*exchange, 503, "no_configuration", startupRetryAfter);
        return;
    }
    if (request.count(m_headerNames.requestId) != 1) {
        refuse(*exchange, 400, "no_request_id");
        return;
    }
    const Route *route = m_routes->find(request.field("Host"), request.target);
    if (!route) {
        refuse(*exchange, 404, "no_route");
        return;
    }
    if (!canFinish(*route, Clock::now())) {
        refuse(*exchange, 503, "stopping", stopRetryAfter);
        return;
    }
    RequestPlan requestPlan = plan(std::move(exchange), *route);
    if (!identifyCaller(requestPlan))
        return;
    std::optional<std::string> forwardedTeam;
    if (m_routes->config().hasTeams)
        forwardedTeam = requestPlan.team ? requestPlan.team->name : std::string();
    requestPlan.request
        = std::make_shared<const ForwardRequest>(request, m_headerNames, forwardedTeam);
    if (m_costs) {
        const std::string_view team
            = requestPlan.team ? requestPlan.team->name : std::string_view();
        requestPlan.costKind = std::make_shared<const CostKind>(route->name, request.method,
                                                                request.body.size(), team);
    }
    checkQuota(std::move(requestPlan));
}

bool GatewayCore::identifyCaller(RequestPlan &plan)
{
    if (!plan.routes->config().hasTeams)
        return true;
    const WireRequest &request = plan.exchange->request();
    // With several such fields it is open which key counts.
    const bool hasKey = request.count(m_headerNames.authorization) == 1;
    if (hasKey)
        plan.team
            = plan.routes->teams().find(bearerToken(request.field(m_headerNames.authorization)));
    if (!plan.team && !plan.route->allowsAnonymous) {
        refuse(*plan.exchange, 401, "unknown_key");
        return false;
    }
    if (!plan.team)
        return true;
    plan.rank = plan.team->rank.value_or(plan.rank);
    if (m_keyProofLimit && m_configAge && m_configAge() > *m_keyProofLimit) {
        refuse(*plan.exchange, 503, "unproven_key", unknownQuotaRetryAfter, plan.team);
        return false;
    }
    return true;
}

void GatewayCore::checkQuota(RequestPlan plan)
{
    if (!m_quota || !plan.team || !plan.team->quota.isLimited()) {
        forward(std::move(plan));
        return;
    }
    const Duration wait = std::min<Duration>(maxQuotaWait, plan.route->target / quotaWaitDivisor);
    // Not from the arrival, nor limited by the caller's deadline: with less time a coordinator that
    // is well would seem silent.
    const TimePoint deadline = Clock::now() + wait;
    const auto isGone = std::make_shared<bool>(false);
    plan.exchange->onDisconnect([isGone] { *isGone = true; });
    plan.exchange->onEnd(
        [this, isGone, weak = std::weak_ptr(plan.exchange)](const std::string &reason) {
            const auto exchange = weak.lock();
            if (!exchange || std::exchange(*isGone, true))
                return;
            refuse(*exchange, 503, reason, stopRetryAfter);
        });
    const Team &team = *plan.team;
    m_quota->acquire(team, deadline,
                     [this, isGone, plan = std::move(plan)](QuotaDecision decision) {
                         if (!*isGone)
                             onQuotaDecision(plan, decision);
                     });
}

void GatewayCore::onQuotaDecision(RequestPlan plan, const QuotaDecision &decision)
{
    plan.excess = decision.excess;
    const std::vector<LogField> details{{"range", quotaRangeOf(plan.team->name)},
                                        {"basis", decision.basis}};
    switch (decision.outcome) {
    case QuotaOutcome::Granted:
        forward(std::move(plan));
        return;
    case QuotaOutcome::OverLimit:
        refuse(*plan.exchange, 429, "over_quota", overQuotaRetryAfter, plan.team, details);
        return;
    case QuotaOutcome::Unknown:
        refuse(*plan.exchange, 503, "quota_unknown", unknownQuotaRetryAfter, plan.team, details);
        return;
    }
}

void GatewayCore::forward(RequestPlan plan)
{
    if (plan.route->isShardQuery()) {
        std::make_shared<ShardQueryRun>(m_forwarding, std::move(plan))->start();
        return;
    }
    const std::string &service = m_weightedSplit.next(*plan.route);
    std::make_shared<SingleForward>(m_forwarding, std::move(plan), service)->start();
}

} // namespace gwt
