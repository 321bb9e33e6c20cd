#pragma once

#include "common/CancelToken.h"
#include "common/Metrics.h"
#include "common/OneShot.h"
#include "common/Outcome.h"
#include "relay/ServiceScheduler.h"

#include <memory>
#include <mutex>

namespace gwt {

class ServiceDispatcher;

/// \brief Holds a slot of one backend server until release() or destruction. Move-only.
class SlotLease
{
public:
    SlotLease() = default;
    SlotLease(std::shared_ptr<ServiceDispatcher> dispatcher, const SlotGrant &grant);
    SlotLease(SlotLease &&other) noexcept = default;
    SlotLease &operator=(SlotLease &&other) noexcept;
    SlotLease(const SlotLease &) = delete;
    SlotLease &operator=(const SlotLease &) = delete;
    ~SlotLease();

    /// \brief Releases the slot; \a elapsed is the duration of the attempt itself.
    void release(AttemptOutcome outcome, Duration elapsed);

    const std::string &replica() const { return m_replica; }
    const BackendTarget &server() const { return m_server; }

private:
    std::shared_ptr<ServiceDispatcher> m_dispatcher;
    std::string m_replica;
    std::string m_rank;
    BackendTarget m_server;
};

/// \brief Queues the attempts of one service and grants them its replicas' slots. Thread-safe.
///
/// Lock order: a dispatcher's mutex is a leaf; while it is held, only the locks of a queued
/// attempt's OneShot and of the log are taken.
class ServiceDispatcher : public std::enable_shared_from_this<ServiceDispatcher>
{
public:
    ServiceDispatcher(const std::string &service, const RelayOptions &options, Metrics &metrics,
                      std::uint64_t seed);

    void configure(const std::vector<Replica> &replicas);

    /// \brief Waits for a slot. Errors, all proving that no request was sent: Overloaded
    /// "no_replica", NotRun "expired_in_queue", NotRun "cancelled_in_queue".
    Task<Outcome<SlotLease>> acquire(QueuedAttempt attempt, CancelToken cancel);

    /// \brief Records that the replica itself reported that it is draining.
    void markDraining(const std::string &replica);
    /// \brief Sets the addresses of the hosts that the platform's host list reports as leaving.
    void setLeaving(const std::vector<std::string> &addresses);
    /// \brief Ejects unresponsive replicas, grants slots that became free by time alone, such as at
    /// the end of an ejection, and updates the gauges; called periodically.
    void tick();
    /// \brief As ServiceScheduler::hedgeDelay().
    std::optional<Duration> hedgeDelay(const std::string &rank, bool isRankHedged,
                                       const std::string &replica) const;
    ServiceLoad load() const;
    /// \brief Records the newest index version seen in a reply.
    void recordVersion(std::uint64_t version);
    std::uint64_t newestVersion() const;

private:
    friend class SlotLease;
    using Grant = OneShot<Outcome<SlotGrant>>;

    void finish(const std::string &replica, const std::string &rank, AttemptOutcome outcome,
                Duration elapsed);
    void grantSlots(TimePoint now);
    void returnSlot(const SlotGrant &grant, TimePoint now);
    void recordEjection(const std::string &replica);

    const std::string m_service;
    prometheus::Counter &m_ejections;
    prometheus::Gauge &m_queueLength;
    prometheus::Gauge &m_slotsInUse;
    mutable std::mutex m_mutex;
    ServiceScheduler m_scheduler;
    std::vector<Replica> m_configured;
    std::map<AttemptId, Grant> m_pendingGrants;
    AttemptId m_nextId = 1;
    std::uint64_t m_newestVersion = 0;
};

} // namespace gwt
