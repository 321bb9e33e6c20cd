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

    /// \brief Runs \a leg until \a deadline and sets its id. Counts extra attempts in
    /// \a extraLegs. Errors: those of ServiceDispatcher::acquire() and BackendClient::search().
    Task<Outcome<SearchLegReply>> run(SearchLeg leg, TimePoint deadline, CancelToken cancel,
                                      std::shared_ptr<std::atomic<std::uint32_t>> extraLegs);

private:
    using DispatcherPtr = std::shared_ptr<ServiceDispatcher>;
    using RacePtr = std::shared_ptr<AttemptRace>;

    Task<void> attempt(RacePtr race, DispatcherPtr dispatcher, SearchLeg leg, SlotLease lease,
                       TimePoint deadline, bool isExtra);
    Task<void> attemptExtra(RacePtr race, DispatcherPtr dispatcher, SearchLeg leg,
                            QueuedLeg waiting, TimePoint deadline, ExtraCause cause,
                            std::shared_ptr<std::atomic<std::uint32_t>> extraLegs);
    LegEnd judge(const Outcome<SearchLegReply> &reply, const AttemptRace &race, bool isExtra,
                 Duration elapsed, const ServiceDispatcher &dispatcher);
    void learn(ServiceDispatcher &dispatcher, const std::string &replica,
               const Outcome<SearchLegReply> &reply);
    bool takeExtraToken();
    void giveBackExtraToken();

    Executor m_executor;
    const ConfigHolder &m_config;
    ServiceTable &m_services;
    BackendClient &m_backends;
    SearchMetrics &m_metrics;
    std::mutex m_budgetMutex; ///< guards m_budget; a leaf in the lock order
    ExtraLoadBudget m_budget;
    std::atomic<std::uint64_t> m_nextLegId = 1;
};

} // namespace gwt
