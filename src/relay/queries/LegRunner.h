#pragma once

#include "relay/BackendClient.h"
#include "relay/ExtraLoadBudget.h"
#include "relay/ServiceTable.h"
#include "relay/queries/LegRace.h"
#include "relay/queries/SearchMetrics.h"

#include <atomic>

namespace gwt {

/// \brief Runs single search legs: a slot, an attempt, and at most one hedge or retry.
class LegRunner
{
public:
    LegRunner(Executor executor, const ConfigHolder &config, ServiceTable &services,
              BackendClient &backends, SearchMetrics &metrics, double extraLoadShare);

    /// \brief Runs \a leg by \a deadline; its id is set here. Adds extra attempts to
    /// \a extraLegs. Errors: as of ServiceDispatcher::acquire() and BackendClient::search().
    Task<Outcome<BackendSearchReply>> run(BackendSearchRequest leg, TimePoint deadline,
                                          CancelToken cancel,
                                          std::shared_ptr<std::atomic<std::uint32_t>> extraLegs);

private:
    using DispatcherPtr = std::shared_ptr<ServiceDispatcher>;
    using RacePtr = std::shared_ptr<LegRace>;

    Task<void> attempt(RacePtr race, DispatcherPtr dispatcher, BackendSearchRequest leg,
                       SlotLease lease, TimePoint deadline, bool isExtra);
    Task<void> attemptExtra(RacePtr race, DispatcherPtr dispatcher, BackendSearchRequest leg,
                            QueuedAttempt waiting, TimePoint deadline, ExtraCause cause,
                            std::shared_ptr<std::atomic<std::uint32_t>> extraLegs);
    AttemptOutcome judge(const Outcome<BackendSearchReply> &reply, const LegRace &race,
                         bool isExtra, Duration elapsed, const ServiceDispatcher &dispatcher);
    void learn(ServiceDispatcher &dispatcher, const std::string &replica,
               const Outcome<BackendSearchReply> &reply);
    bool takeExtraToken();
    void giveBackExtraToken();

    Executor m_executor;
    const ConfigHolder &m_config;
    ServiceTable &m_services;
    BackendClient &m_backends;
    SearchMetrics &m_metrics;
    std::mutex m_budgetMutex; ///< a leaf in the lock order
    ExtraLoadBudget m_budget;
    std::atomic<std::uint64_t> m_nextLegId = 1;
};

} // namespace gwt
