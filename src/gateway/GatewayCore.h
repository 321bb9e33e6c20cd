#pragma once

#include "common/Log.h"
#include "gateway/GatewayOptions.h"
#include "gateway/forwarding/ForwardingContext.h"
#include "gateway/policy/CallerWaitEstimator.h"
#include "gateway/quota/QuotaGate.h"
#include "gateway/routing/WeightedSplit.h"
#include "gateway/sharing/FleetState.h"
#include "http/MemoryBudget.h"

namespace gwt {

/// \brief Routes each request of a caller by the configuration and the registered backend servers.
class GatewayCore : public RequestHandler, public StateObserver
{
public:
    /// \brief Time since the configuration was last proved to be the newest.
    using ConfigAge = std::function<Duration()>;

    /// \brief \a quota checks the quotas of teams; null: none are enforced.
    GatewayCore(boost::asio::io_context &context, TimerQueue &timers, GatewayOptions options,
                const HeaderNames &headerNames, Metrics &metrics, QuotaGate *quota = nullptr);

    void handle(std::shared_ptr<CallerExchange> exchange) override;

    /// \brief Applies \a config if its version is higher than the one in force; else ignores it.
    void onConfig(const RoutingConfig &config) override;
    /// \brief Replaces the registered backend servers by \a entries, a complete listing.
    void onBackends(const std::vector<BackendEntry> &entries) override;
    /// \brief Applies \a changes to the registered backend servers.
    void onBackendChanges(const std::vector<BackendChange> &changes) override;
    /// \brief Sets the processes that share connections and budgets, this one included.
    void onMembers(const std::vector<FleetMember> &members) override;
    /// \brief Sends nothing more to backend servers of \a zones.
    void onEvacuations(const std::set<std::string> &zones) override;
    /// \brief The registry can be reached again after an outage.
    void onRegistryRecovery() override;

    /// \brief Sets the time by which the process has responded to all requests. Later requests, and
    /// those that can't be expected to finish by then, are refused.
    void setStopTime(TimePoint end) { m_stopTime = end; }

    /// \brief Sets the source of the age that the limit on unproven API keys is compared with.
    void setConfigAge(ConfigAge age) { m_configAge = std::move(age); }
    /// \brief Sets the age of the configuration above which requests with an API key are refused,
    /// as the key may have been removed; without a value they are not.
    void setKeyProofLimit(std::optional<Milliseconds> limit) { m_keyProofLimit = limit; }

    /// \brief Replaces the rules of the retry and hedging budget.
    void setRetryBudgetRules(RetryBudgetRules rules) { m_backends.setRetryBudgetRules(rules); }

    /// \brief True once requests can be served.
    bool isReady() const { return m_routes && m_hasBackends; }
    /// \brief The account of the memory held for callers and for responses of backend servers.
    MemoryBudget &memory() { return m_memory; }
    const RequestLimits &limits() const { return m_limits; }
    const HeaderNames &headerNames() const { return m_headerNames; }
    /// \brief Version of the configuration in force; 0: none.
    std::uint64_t configVersion() const { return m_routes ? m_routes->config().version : 0; }
    TimePoint configAppliedAt() const { return m_configAppliedAt; }
    int fleetSize() const { return m_fleetSize; }
    const BackendFleet &backends() const { return m_backends; }
    const AdmissionTable &admission() const { return m_admission; }
    /// \brief Null unless costs are learned.
    const CostEstimator *costs() const { return m_costs.get(); }
    /// \brief Sends to backend servers, queued or in flight.
    std::size_t openAttempts() const { return m_backends.openAttempts(); }

private:
    void applyBackends(const std::vector<BackendChange> &changes);
    void scheduleExpiry();
    std::shared_ptr<const RouteTable> routes() const { return m_routes; }
    bool canFinish(const Route &route, TimePoint now) const;
    /// \brief Sets the team of the caller in \a plan; false if the request was refused instead.
    bool identifyCaller(RequestPlan &plan);
    RequestPlan plan(std::shared_ptr<CallerExchange> exchange, const Route &route);
    void checkQuota(RequestPlan plan);
    void onQuotaDecision(RequestPlan plan, const QuotaDecision &decision);
    void forward(RequestPlan plan);
    void refuse(CallerExchange &exchange, unsigned status, const std::string &reason,
                std::optional<Milliseconds> retryAfter = std::nullopt, const Team *team = nullptr,
                std::vector<LogField> details = {});

    const GatewayOptions m_options;
    const HeaderNames &m_headerNames;
    TimerQueue &m_timers;
    Metrics &m_metrics;
    RequestLimits m_limits;
    std::shared_ptr<const RouteTable> m_routes; ///< null until a configuration is applied
    TimePoint m_configAppliedAt; ///< start of this process while there is none
    bool m_hasBackends = false;
    int m_fleetSize;
    BackendRegistry m_registry;
    MemoryBudget m_memory;
    HoldTracker m_holds;
    const std::unique_ptr<CostEstimator> m_costs; ///< null: costs are not learned
    const std::unique_ptr<CostRecorder> m_costRecorder; ///< null with m_costs
    const std::unique_ptr<BackendPicker> m_picker;
    BackendFleet m_backends;
    HedgeTimer m_hedges;
    DeadlineCheck m_deadlines{m_hedges};
    DeliveryTime m_delivery;
    CallerWaitEstimator m_callerWaits;
    AdmissionTable m_admission;
    const FixedSizeMerge m_merge;
    WeightedSplit m_weightedSplit;
    RequestRecorder m_recorder;
    ForwardingContext m_forwarding;
    TimerQueue::Id m_expiryTimer;
    TimePoint m_stopTime = TimePoint::max();
    QuotaGate *const m_quota;
    ConfigAge m_configAge;
    std::optional<Milliseconds> m_keyProofLimit;
};

} // namespace gwt
