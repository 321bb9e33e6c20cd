#include "relay/ServiceScheduler.h"

#include <cmath>

namespace gwt {

namespace {

constexpr int waitWeight = 8; ///< the newest sample has weight 1/waitWeight
constexpr Milliseconds waitHalfLife{200}; ///< of the measured wait while no slot is granted

} // namespace

ServiceScheduler::ServiceScheduler(const RelayOptions &options, std::uint64_t seed)
    : m_queue(options.queue)
    , m_replicas(options.picker, options.ejection, seed)
    , m_hedging(options.hedging)
{ }

void ServiceScheduler::push(QueuedAttempt attempt, TimePoint now)
{
    attempt.arrival = now;
    m_queue.push(std::move(attempt));
}

std::optional<SlotGrant> ServiceScheduler::grantNext(TimePoint now, std::vector<AttemptId> &expired)
{
    const auto isEligible = [this, now](const QueuedAttempt &attempt) {
        return m_replicas.pick(now, m_queue.size(), attempt.excludedReplica) != nullptr;
    };
    std::optional<QueuedAttempt> attempt = m_queue.pop(now, isEligible, expired);
    if (!attempt)
        return std::nullopt;
    const Replica *replica = m_replicas.pick(now, m_queue.size() + 1, attempt->excludedReplica);
    GWT_ASSERT(replica != nullptr, "an eligible attempt still has a replica");
    recordWait(now - attempt->arrival, now);
    SlotGrant grant{std::move(*attempt), replica->name, {replica->address, replica->connections}};
    m_replicas.acquireSlot(grant.replica, now);
    return grant;
}

void ServiceScheduler::recordWait(Duration wait, TimePoint now)
{
    m_wait += (wait - m_wait) / waitWeight;
    m_lastGrant = now;
}

bool ServiceScheduler::finish(const std::string &replica, const std::string &rank,
                              AttemptOutcome outcome, Duration elapsed, TimePoint now)
{
    if (outcome == AttemptOutcome::Answered || outcome == AttemptOutcome::Overrun)
        m_hedging.record(rank, elapsed);
    m_queue.recordSlotTime(rank, elapsed);
    return m_replicas.releaseSlot(replica, outcome, elapsed, now);
}

std::optional<Duration> ServiceScheduler::hedgeDelay(const std::string &rank, bool isRankHedged,
                                                     const std::string &replica,
                                                     TimePoint now) const
{
    const bool isSlow = m_replicas.isSlow(replica, now);
    const Duration queueDelay = isSlow ? Duration::zero() : load(now).queueDelay;
    return m_hedging.delay(rank, isRankHedged, queueDelay);
}

ServiceLoad ServiceScheduler::load(TimePoint now) const
{
    ServiceLoad load;
    load.serviceTime = m_replicas.meanLatency(now);
    load.queueLength = static_cast<int>(m_queue.size());
    load.liveReplicas = m_replicas.liveReplicas(now);
    load.slots = m_replicas.totalSlots(now);
    load.slotsInUse = m_replicas.slotsInUse();
    if (load.slots > 0)
        load.queueDelay = load.serviceTime * load.queueLength / load.slots;
    const std::chrono::duration<double> idle = now - m_lastGrant;
    const double remaining = std::exp2(-(idle / std::chrono::duration<double>(waitHalfLife)));
    const auto measured
        = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(m_wait) * remaining);
    load.queueDelay = std::max(load.queueDelay, measured);
    return load;
}

} // namespace gwt
