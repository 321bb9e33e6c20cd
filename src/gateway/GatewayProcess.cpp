#include "gateway/GatewayProcess.h"

#include "common/Log.h"
#include "gateway/forwarding/Refusal.h"

#include <csignal>

namespace gwt {

namespace {

/// Five times the pause of a core that has used up its CPU quota and waits for the next period of
/// 100 ms.
constexpr Milliseconds stallThreshold{500};
constexpr std::string_view serviceQuery = "?service=";

} // namespace

GatewayProcess::GatewayProcess(boost::asio::io_context &context, TimerQueue &timers,
                               GatewayCore &core, GatewayOptions options,
                               GatewayListeners listeners, Metrics &metrics)
    : m_timers(timers)
    , m_core(core)
    , m_options(std::move(options))
    , m_listeners(std::move(listeners))
    , m_metrics(metrics)
    , m_adminHandler(*this)
    , m_callerMemory(core.memory(), timers, metrics)
    , m_callerServer(context,
                     CallerContext{timers, core, metrics, core.limits(), core.headerNames(), false,
                                   &m_callerMemory, m_options.hostLimits.maxCallers(),
                                   m_options.hostLimits.receiveBufferBytes()})
    , m_adminServer(context,
                    CallerContext{timers, m_adminHandler, metrics, core.limits(),
                                  core.headerNames(), false, &m_callerMemory,
                                  m_options.hostLimits.maxAdminConnections(),
                                  m_options.hostLimits.receiveBufferBytes()})
    , m_stallDetector(stallThreshold)
    , m_signals(context, SIGTERM, SIGINT, SIGHUP)
    , m_stop(timers, core, m_callerServer, m_options.idleCloseDelay, m_options.shutdownTimeout,
             [&context] { context.stop(); })
{ }

Outcome<Done> GatewayProcess::start(std::function<void()> onReload, std::function<void()> onStop,
                                    StatusProvider status)
{
    m_onReload = std::move(onReload);
    m_onStop = std::move(onStop);
    m_statusProvider = std::move(status);
    const Outcome<Endpoint> admin = m_adminServer.listen(m_listeners.readiness);
    if (!isOk(admin))
        return errorOf(admin);
    const Outcome<Endpoint> callers = m_callerServer.listen(m_listeners.callers);
    if (!isOk(callers))
        return errorOf(callers);
    watchForStalls();
    waitForSignal();
    logInfo("started",
            {{"host", m_options.hostName},
             {"availability_zone", m_options.availabilityZone},
             {"callers", toString(valueOf(callers))},
             {"readiness", toString(valueOf(admin))}});
    return Done{};
}

void GatewayProcess::watchForStalls()
{
    prometheus::Counter &stalls
        = m_metrics.counter("gwt_gateway_stalls_total", "Times that this process stood still");
    m_timers.onRun([this, &stalls](TimePoint due) {
        const auto stall
            = m_stallDetector.recordRun(due, Clock::now(), std::chrono::steady_clock::now());
        if (!stall)
            return;
        stalls.Increment();
        const auto delay = std::chrono::duration_cast<Milliseconds>(stall->delay);
        const auto suspended = std::chrono::duration_cast<Milliseconds>(stall->suspended);
        logWarning("process_stalled",
                   {{"late_ms", delay.count()}, {"suspended_ms", suspended.count()}});
    });
}

void GatewayProcess::waitForSignal()
{
    m_signals.async_wait([this](const boost::system::error_code &failure, int signal) {
        if (failure)
            return;
        if (signal == SIGHUP) {
            m_onReload();
        } else {
            m_onStop();
            m_stop.begin();
        }
        waitForSignal();
    });
}

void GatewayProcess::AdminHandler::handle(std::shared_ptr<CallerExchange> exchange)
{
    const std::string_view path = exchange->request().target;
    if (path == m_process.m_listeners.readinessPath) {
        const bool isReady = m_process.m_core.isReady() && !m_process.m_stop.hasBegun();
        exchange->respond({isReady ? 200U : 503U, {}, ""});
        return;
    }
    if (path == m_process.m_listeners.metricsPath) {
        exchange->respond(
            {200, {{"Content-Type", "text/plain; version=0.0.4"}}, m_process.m_metrics.text()});
        return;
    }
    if (path.substr(0, path.find('?')) == m_process.m_listeners.statusPath) {
        const std::size_t query = path.find(serviceQuery);
        const std::string service(
            query == std::string_view::npos ? "" : path.substr(query + serviceQuery.size()));
        const auto body = boost::json::serialize(
            m_process.m_statusProvider(service, m_process.m_stop.hasBegun()));
        exchange->respond({200, {{"Content-Type", "application/json"}}, body});
        return;
    }
    exchange->respond(makeRefusal(404, "no_page"));
}

} // namespace gwt
