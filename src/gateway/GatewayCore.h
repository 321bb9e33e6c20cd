#pragma once

#include "gateway/GatewayOptions.h"
#include "gateway/forwarding/ForwardingContext.h"
#include "gateway/policy/CallerWaitEstimator.h"
#include "gateway/routing/WeightedSplit.h"
#include "gateway/sharing/FleetState.h"

namespace gwt {

/// \brief Decides on each request of callers, by the configuration and the registered servers.
class GatewayCore : public RequestHandler, public StateObserver
{
public:
    GatewayCore(boost::asio::io_context &context, TimerQueue &timers, GatewayOptions options,
                const HeaderNames &names, Metrics &metrics);

    void handle(std::shared_ptr<CallerExchange> exchange) override;

    /// \brief Takes \a config unless a newer version is in force; never goes back.
    void onConfig(const RoutingConfig &config) override;
    /// \brief Takes a complete listing of the backend servers.
    void onBackends(const std::vector<BackendEntry> &entries) override;
    void onBackendChanges(const std::vector<BackendChange> &changes) override;
    /// \brief Takes the processes that share connections and budgets, this one included.
    void onMembers(const std::vector<FleetMember> &members) override;
    void onRegistryReturn() override;

    /// \brief From now on repeats are bounded by \a rules.
    void setRepeatRules(RetryBudgetRules rules) { m_backends.setRepeatRules(rules); }

    /// \brief True once requests can be served.
    bool isReady() const { return m_routes && m_hasBackends; }
    const RequestLimits &limits() const { return m_limits; }
    const HeaderNames &names() const { return m_names; }
    /// \brief Version of the configuration in force; 0: none.
    std::uint64_t configVersion() const { return m_routes ? m_routes->config().version : 0; }
    TimePoint configAppliedAt() const { return m_configAppliedAt; }
    int fleetSize() const { return m_fleetSize; }
    const BackendFleet &backends() const { return m_backends; }
    const AdmissionTable &admission() const { return m_admission; }
    /// \brief Legs that have not ended.
    std::size_t openLegs() const { return m_backends.openLegs(); }

private:
    void applyBackends(const std::vector<BackendChange> &changes);
    void scheduleExpiry();
    std::shared_ptr<const RouteTable> routes() const { return m_routes; }
    RequestPlan plan(std::shared_ptr<CallerExchange> exchange, const Route &route);
    void refuse(CallerExchange &exchange, unsigned status, const std::string &reason,
                std::optional<Milliseconds> retryAfter = std::nullopt);

    const GatewayOptions m_options;
    const HeaderNames &m_names;
    TimerQueue &m_timers;
    Metrics &m_metrics;
    RequestLimits m_limits;
    std::shared_ptr<const RouteTable> m_routes; ///< null until a configuration is known
    TimePoint m_configAppliedAt; ///< or when this process started
    bool m_hasBackends = false;
    int m_fleetSize;
    BackendRegistry m_registry;
    BackendFleet m_backends;
    HedgeTimer m_hedges;
    DeliveryTime m_delivery;
    CallerWaitEstimator m_callerWaits;
    AdmissionTable m_admission;
    const FixedSizeMerge m_merge;
    WeightedSplit m_split;
    RequestRecorder m_recorder;
    ForwardingContext m_forwarding;
    TimerQueue::Id m_expiryTimer;
};

} // namespace gwt
