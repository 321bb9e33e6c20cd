#include "relay/ServiceDispatcher.h"

#include "common/Log.h"

#include <algorithm>

namespace gwt {

SlotLease::SlotLease(std::shared_ptr<ServiceDispatcher> dispatcher, const SlotGrant &grant)
    : m_dispatcher(std::move(dispatcher))
    , m_replica(grant.replica)
    , m_rank(grant.attempt.rank)
    , m_server(grant.server)
{ }

SlotLease &SlotLease::operator=(SlotLease &&other) noexcept
{
    if (this != &other) {
        release(AttemptOutcome::Neutral, Duration::zero());
        m_dispatcher = std::move(other.m_dispatcher);
        m_replica = std::move(other.m_replica);
        m_rank = std::move(other.m_rank);
        m_server = std::move(other.m_server);
    }
    return *this;
}

SlotLease::~SlotLease()
{
    release(AttemptOutcome::Neutral, Duration::zero());
}

void SlotLease::release(AttemptOutcome outcome, Duration elapsed)
{
    const auto dispatcher = std::move(m_dispatcher);
    if (dispatcher)
        dispatcher->finish(m_replica, m_rank, outcome, elapsed);
}

ServiceDispatcher::ServiceDispatcher(const std::string &service, const RelayOptions &options,
                                     Metrics &metrics, std::uint64_t seed)
    : m_service(service)
    , m_ejections(metrics.counter("gwt_relay_ejections_total", "Replicas ejected for a while",
                                  {{"service", service}}))
    , m_queueLength(metrics.gauge("gwt_relay_queue_length", "Legs that wait for a slot",
                                  {{"service", service}}))
    , m_slotsInUse(metrics.gauge("gwt_relay_slots_in_use", "Backend server slots held",
                                 {{"service", service}}))
    , m_scheduler(options, seed)
{ }

void ServiceDispatcher::configure(const std::vector<Replica> &replicas)
{
    const std::lock_guard lock(m_mutex);
    m_configured = replicas;
    m_scheduler.replicas().configure(replicas);
    grantSlots(Clock::now());
}

Task<Outcome<SlotLease>> ServiceDispatcher::acquire(QueuedAttempt attempt, CancelToken cancel)
{
    Grant grant;
    const auto self = shared_from_this();
    const TimePoint deadline = attempt.deadline;
    AttemptId id = 0;
    {
        const std::lock_guard lock(m_mutex);
        const TimePoint now = Clock::now();
        if (m_scheduler.replicas().liveReplicas(now) == 0)
            co_return Error{ErrorCode::Overloaded, "no_replica", ""};
        id = attempt.id = m_nextId++;
        m_scheduler.push(std::move(attempt), now);
        m_pendingGrants.emplace(id, grant);
        grantSlots(now);
    }
    const auto registration = cancel.onCancel([grant] {
        grant.set(Error{ErrorCode::NotRun, "cancelled_in_queue", ""});
    });
    Outcome<SlotGrant> granted
        = co_await grant.waitUntil(deadline, Error{ErrorCode::NotRun, "expired_in_queue", ""});
    if (!isOk(granted)) {
        const std::lock_guard lock(m_mutex);
        m_scheduler.remove(id);
        m_pendingGrants.erase(id);
        co_return errorOf(granted);
    }
    co_return SlotLease(self, valueOf(granted));
}

void ServiceDispatcher::grantSlots(TimePoint now)
{
    std::vector<AttemptId> expired;
    while (const std::optional<SlotGrant> next = m_scheduler.grantNext(now, expired)) {
        const auto pending = m_pendingGrants.find(next->attempt.id);
        GWT_ASSERT(pending != m_pendingGrants.end(), "a queued attempt has a waiting caller");
        const Grant grant = pending->second;
        m_pendingGrants.erase(pending);
        if (!grant.set(*next))
            returnSlot(*next, now);
    }
    for (const AttemptId id : expired) {
        const auto pending = m_pendingGrants.find(id);
        if (pending == m_pendingGrants.end())
            continue;
        pending->second.set(Error{ErrorCode::NotRun, "expired_in_queue", ""});
        m_pendingGrants.erase(pending);
    }
}

void ServiceDispatcher::returnSlot(const SlotGrant &grant, TimePoint now)
{
    m_scheduler.replicas().releaseSlot(grant.replica, AttemptOutcome::Neutral, Duration::zero(),
                                       now);
}

void ServiceDispatcher::finish(const std::string &replica, const std::string &rank,
                               AttemptOutcome outcome, Duration elapsed)
{
    bool isEjected = false;
    {
        const std::lock_guard lock(m_mutex);
        const TimePoint now = Clock::now();
        isEjected = m_scheduler.finish(replica, rank, outcome, elapsed, now);
        grantSlots(now);
    }
    if (isEjected)
        recordEjection(replica);
}

void ServiceDispatcher::recordEjection(const std::string &replica)
{
    m_ejections.Increment();
    logInfo("replica_ejected", {{"service", m_service}, {"replica", replica}});
}

void ServiceDispatcher::markDraining(const std::string &replica)
{
    const std::lock_guard lock(m_mutex);
    m_scheduler.replicas().markDraining(replica, Clock::now());
}

void ServiceDispatcher::setLeaving(const std::vector<std::string> &addresses)
{
    const std::lock_guard lock(m_mutex);
    for (const Replica &replica : m_configured) {
        const bool isLeaving
            = std::find(addresses.begin(), addresses.end(), replica.address.address)
            != addresses.end();
        m_scheduler.replicas().setLeaving(replica.name, isLeaving);
    }
}

void ServiceDispatcher::tick()
{
    const std::lock_guard lock(m_mutex);
    const TimePoint now = Clock::now();
    for (const std::string &replica : m_scheduler.replicas().ejectUnresponsive(now))
        recordEjection(replica);
    grantSlots(now);
    const ServiceLoad load = m_scheduler.load(now);
    m_queueLength.Set(load.queueLength);
    m_slotsInUse.Set(load.slotsInUse);
}

std::optional<Duration> ServiceDispatcher::hedgeDelay(const std::string &rank, bool isRankHedged,
                                                      const std::string &replica) const
{
    const std::lock_guard lock(m_mutex);
    return m_scheduler.hedgeDelay(rank, isRankHedged, replica, Clock::now());
}

ServiceLoad ServiceDispatcher::load() const
{
    const std::lock_guard lock(m_mutex);
    return m_scheduler.load(Clock::now());
}

void ServiceDispatcher::recordVersion(std::uint64_t version)
{
    const std::lock_guard lock(m_mutex);
    m_newestVersion = std::max(m_newestVersion, version);
}

std::uint64_t ServiceDispatcher::newestVersion() const
{
    const std::lock_guard lock(m_mutex);
    return m_newestVersion;
}

} // namespace gwt
