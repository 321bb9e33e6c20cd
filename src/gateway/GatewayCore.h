#pragma once

#include "gateway/GatewayOptions.h"
#include "gateway/forwarding/ForwardingContext.h"
#include "gateway/routing/WeightedSplit.h"

namespace gwt {

/// \brief Decides on each request of callers, by the configuration and the registered servers.
class GatewayCore : public RequestHandler
{
public:
    GatewayCore(boost::asio::io_context &context, TimerQueue &timers, GatewayOptions options,
                const HeaderNames &names, Metrics &metrics);

    void handle(std::shared_ptr<CallerExchange> exchange) override;

    /// \brief Takes \a config unless a newer version is in force; never goes back.
    void setConfig(RoutingConfig config);
    /// \brief Takes a complete listing of the backend servers.
    void setBackends(const std::vector<BackendEntry> &entries);
    void updateBackend(const BackendEntry &entry);
    void removeBackend(const std::string &id);
    /// \brief The registry of backend servers answers again after an outage.
    void noteRegistryReturn();
    /// \brief Processes that share connections and budgets, this one included.
    void setFleetSize(int size);

    /// \brief True once requests can be served.
    bool isReady() const { return m_routes && m_hasBackends; }
    const RequestLimits &limits() const { return m_limits; }

private:
    void applyBackends(const std::vector<BackendChange> &changes);
    void scheduleExpiry();
    std::shared_ptr<const RouteTable> routes() const { return m_routes; }
    RequestPlan plan(std::shared_ptr<CallerExchange> exchange, const Route &route) const;
    void countRequest(const Route &route, const char *how);

    const GatewayOptions m_options;
    const HeaderNames &m_names;
    TimerQueue &m_timers;
    Metrics &m_metrics;
    RequestLimits m_limits;
    std::shared_ptr<const RouteTable> m_routes; ///< null until a configuration is known
    bool m_hasBackends = false;
    int m_fleetSize;
    BackendRegistry m_registry;
    BackendFleet m_backends;
    HedgeTimer m_hedges;
    const AnswerPolicy m_answers;
    const FixedSizeMerge m_merge;
    WeightedSplit m_split;
    ForwardingContext m_forwarding;
    TimerQueue::Id m_expiryTimer;
};

} // namespace gwt
