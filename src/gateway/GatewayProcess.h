#pragma once

#include "common/StallDetector.h"
#include "gateway/GatewayCore.h"
#include "gateway/GracefulStop.h"
#include "gateway/callers/CallerServer.h"

#include <boost/asio/signal_set.hpp>
#include <boost/json.hpp>

#include <functional>

namespace gwt {

/// \brief Addresses that a gateway process listens on and paths of its own pages.
struct GatewayListeners
{
    Endpoint callers;
    Endpoint readiness;
    std::string readinessPath; ///< 200 from ready until the stop signal, else 503
    std::string metricsPath = "/metrics"; ///< on the readiness address
    std::string statusPath = "/status"; ///< on the readiness address; takes "?service=NAME"
};

/// \brief Builds the status page: the summary, or the page of \a service if that isn't empty.
using StatusProvider
    = std::function<boost::json::object(const std::string &service, bool isStopping)>;

/// \brief Runs the listeners, signal handlers and graceful shutdown of a gateway process.
class GatewayProcess
{
public:
    GatewayProcess(boost::asio::io_context &context, TimerQueue &timers, GatewayCore &core,
                   GatewayOptions options, GatewayListeners listeners, Metrics &metrics);

    /// \brief Opens the listeners; \a onReload runs on SIGHUP, \a onStop as the
    /// shutdown begins. Errors: Unavailable "listen_failed".
    Outcome<Done> start(std::function<void()> onReload, std::function<void()> onStop,
                        StatusProvider status);
    /// \brief Sets the longest time that a graceful shutdown may take.
    void setShutdownTimeout(Milliseconds timeout) { m_stop.setLimit(timeout); }

private:
    class AdminHandler : public RequestHandler
    {
    public:
        explicit AdminHandler(GatewayProcess &process)
            : m_process(process)
        { }
        void handle(std::shared_ptr<CallerExchange> exchange) override;

    private:
        GatewayProcess &m_process;
    };

    void watchForStalls();
    void waitForSignal();

    TimerQueue &m_timers;
    GatewayCore &m_core;
    const GatewayOptions m_options;
    const GatewayListeners m_listeners;
    Metrics &m_metrics;
    AdminHandler m_adminHandler;
    CallerMemory m_callerMemory;
    CallerServer m_callerServer;
    CallerServer m_adminServer;
    StallDetector m_stallDetector;
    boost::asio::signal_set m_signals;
    GracefulStop m_stop;
    std::function<void()> m_onReload;
    std::function<void()> m_onStop;
    StatusProvider m_statusProvider;
};

} // namespace gwt
