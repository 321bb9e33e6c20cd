#pragma once

#include "relay/BackendClient.h"
#include "relay/ExtraLoadBudget.h"
#include "relay/ServiceTable.h"
#include "relay/queries/AttemptRace.h"
#include "relay/queries/SearchMetrics.h"

#include <atomic>

namespace gwt {

/// \brief Runs searches of one service each: waits for a slot, makes an attempt, and adds at most
/// one hedge or retry.
class ShardSearchRunner
{
public:
    ShardSearchRunner(Executor executor, const ConfigHolder &config, ServiceTable &services,
                      BackendClient &backends, SearchMetrics &metrics, double extraLoadShare);

    /// \brief Runs \a request until \a deadline and sets its id. Counts extra attempts in
    /// \a extraAttempts. Errors: those of ServiceDispatcher::acquire() and BackendClient::search().
    Task<Outcome<BackendSearchReply>>
    run(BackendSearchRequest request, TimePoint deadline, CancelToken cancel,
        std::shared_ptr<std::atomic<std::uint32_t>> extraAttempts);

private:
    using DispatcherPtr = std::shared_ptr<ServiceDispatcher>;
    using RacePtr = std::shared_ptr<AttemptRace>;

    Task<void> runAttempt(RacePtr race, DispatcherPtr dispatcher, BackendSearchRequest request,
                          SlotLease lease, TimePoint deadline, bool isExtra);
    Task<void> runExtraAttempt(RacePtr race, DispatcherPtr dispatcher, BackendSearchRequest request,
                               QueuedAttempt queued, TimePoint deadline, ExtraAttempt kind,
                               std::shared_ptr<std::atomic<std::uint32_t>> extraAttempts);
    AttemptOutcome classify(const Outcome<BackendSearchReply> &reply, const AttemptRace &race,
                            bool isExtra, Duration elapsed, const ServiceDispatcher &dispatcher);
    void recordServerState(ServiceDispatcher &dispatcher, const std::string &replica,
                           const Outcome<BackendSearchReply> &reply);
    bool tryAcquireExtraToken();
    void refundExtraToken();

    Executor m_executor;
    const ConfigHolder &m_config;
    ServiceTable &m_services;
    BackendClient &m_backends;
    SearchMetrics &m_metrics;
    std::mutex m_budgetMutex; ///< guards m_budget; a leaf in the lock order
    ExtraLoadBudget m_budget;
    std::atomic<std::uint64_t> m_nextAttemptId = 1;
};

} // namespace gwt
