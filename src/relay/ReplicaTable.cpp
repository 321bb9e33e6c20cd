#include "relay/ReplicaTable.h"

#include "common/Assert.h"

#include <algorithm>
#include <cmath>

namespace gwt {

namespace {

constexpr int latencyWeight = 16; ///< the newest sample has weight 1/latencyWeight
constexpr int repliesPerRampStep = 4;
constexpr std::chrono::seconds latencyHalfLife{2}; ///< of an estimate without new samples
constexpr Milliseconds idleLatency{5}; ///< estimate of a replica without samples
constexpr std::chrono::minutes drainReportTtl{5}; ///< how long a replica's draining report is valid
constexpr int maxHedgeSlowness = 4; ///< max latency ratio to another replica, for hedges

} // namespace

ReplicaTable::ReplicaTable(ReplicaPicker picker, EjectionRules ejection, std::uint64_t seed)
    : m_picker(picker)
    , m_ejection(ejection)
    , m_random(seed)
{ }

void ReplicaTable::configure(const std::vector<Replica> &replicas)
{
    for (auto &[name, replica] : m_replicas)
        replica.isRetired = true;
    for (const Replica &configured : replicas) {
        Replica &replica = m_replicas.try_emplace(configured.name, configured).first->second;
        replica.isRetired = false;
        replica.isDraining = configured.isDraining;
        replica.slots = configured.slots;
        replica.connections = configured.connections;
        if (replica.address == configured.address)
            continue;
        replica.address = configured.address;
        replica.health = {};
        replica.rampedSlots = 1;
        replica.drainingUntil = {};
    }
    std::erase_if(m_replicas, [](const auto &entry) {
        return entry.second.isRetired && entry.second.inFlight == 0;
    });
}

bool ReplicaTable::isUsable(const Replica &replica, TimePoint now) const
{
    const auto leaving = m_leaving.find(replica.name);
    const bool isLeaving = leaving != m_leaving.end() && leaving->second;
    return replica.slots > 0 && !replica.isDraining && !replica.isRetired && !isLeaving
        && !replica.health.isEjected && replica.drainingUntil <= now;
}

bool ReplicaTable::hasFreeSlot(const Replica &replica)
{
    return replica.inFlight < std::min(replica.slots, replica.rampedSlots);
}

Duration ReplicaTable::expectedLatency(const Replica &replica, TimePoint now)
{
    const bool isRecent = replica.lastSample == TimePoint{} || now < replica.lastSample;
    if (isRecent || replica.typicalLatency <= idleLatency)
        return replica.typicalLatency;
    const std::chrono::duration<double> sinceSample = now - replica.lastSample;
    const double remaining
        = std::exp2(-(sinceSample / std::chrono::duration<double>(latencyHalfLife)));
    const std::chrono::duration<double> surplus = replica.typicalLatency - Duration(idleLatency);
    return idleLatency + std::chrono::duration_cast<Duration>(surplus * remaining);
}

Duration ReplicaTable::expectedWait(const Replica &replica, std::size_t queued, TimePoint now)
{
    if (hasFreeSlot(replica))
        return Duration::zero();
    const auto ahead = static_cast<std::int64_t>(queued) + 1;
    return std::max(replica.latency, expectedLatency(replica, now)) * ahead / replica.slots;
}

const Replica *ReplicaTable::pick(TimePoint now, std::size_t queued,
                                  const std::string &excludedReplica)
{
    readmit(now);
    return m_picker == ReplicaPicker::Random
        ? pickRandom(now, excludedReplica)
        : pickLeastCompletionTime(now, queued, excludedReplica);
}

const Replica *ReplicaTable::pickLeastCompletionTime(TimePoint now, std::size_t queued,
                                                     const std::string &excludedReplica)
{
    const Replica *best = nullptr;
    Duration bestCompletion{};
    for (const auto &[name, replica] : m_replicas) {
        if (name == excludedReplica || !isUsable(replica, now))
            continue;
        const Duration latency = expectedLatency(replica, now);
        const Duration load = latency * replica.inFlight / (replica.slots * 4);
        const Duration completion = latency + load + expectedWait(replica, queued, now);
        if (!best || completion < bestCompletion) {
            best = &replica;
            bestCompletion = completion;
        }
    }
    if (!best || !hasFreeSlot(*best))
        return nullptr;
    const Replica *excluded = excludedReplica.empty() ? nullptr : find(excludedReplica);
    const bool isTooSlow = excluded
        && expectedLatency(*best, now) > expectedLatency(*excluded, now) * maxHedgeSlowness;
    return isTooSlow ? nullptr : best;
}

const Replica *ReplicaTable::pickRandom(TimePoint now, const std::string &excludedReplica)
{
    const Replica *chosen = nullptr;
    std::uint64_t candidates = 0;
    for (const auto &[name, replica] : m_replicas) {
        if (name == excludedReplica || !isUsable(replica, now) || !hasFreeSlot(replica))
            continue;
        if (m_random() % ++candidates == 0)
            chosen = &replica;
    }
    return chosen;
}

void ReplicaTable::readmit(TimePoint now)
{
    for (auto &[name, replica] : m_replicas) {
        if (!m_ejection.readmit(replica.health, now))
            continue;
        replica.rampedSlots = 1;
        replica.repliesSinceRampStep = 0;
    }
}

void ReplicaTable::acquireSlot(const std::string &name, TimePoint now)
{
    const auto found = m_replicas.find(name);
    GWT_ASSERT(found != m_replicas.end(), "an attempt is started only on a known replica");
    if (found->second.inFlight++ == 0)
        found->second.health.noReplySince = now;
}

bool ReplicaTable::releaseSlot(const std::string &name, AttemptOutcome outcome, Duration elapsed,
                               TimePoint now)
{
    const auto found = m_replicas.find(name);
    GWT_ASSERT(found != m_replicas.end(),
               "a replica is retained until its requests in flight have ended");
    Replica &replica = found->second;
    GWT_ASSERT(replica.inFlight > 0, "a slot is given back once");
    --replica.inFlight;
    if (replica.isRetired) {
        if (replica.inFlight == 0)
            m_replicas.erase(found);
        return false;
    }
    // The latency of an attempt without a reply is only a lower bound.
    const bool isSample = outcome == AttemptOutcome::Answered
        || (outcome != AttemptOutcome::Neutral && elapsed > replica.latency);
    if (isSample)
        addSample(replica, elapsed, now);
    if (outcome == AttemptOutcome::Answered
        && ++replica.repliesSinceRampStep >= repliesPerRampStep) {
        replica.rampedSlots = std::min(replica.rampedSlots + 1, replica.slots);
        replica.repliesSinceRampStep = 0;
    }
    if (outcome == AttemptOutcome::Answered)
        replica.health.noReplySince = now;
    m_ejection.record(replica.health, outcome);
    return ejectIfOutlier(replica, now);
}

void ReplicaTable::addSample(Replica &replica, Duration elapsed, TimePoint now)
{
    replica.latency += (elapsed - replica.latency) / latencyWeight;
    const std::chrono::duration<double> typical = expectedLatency(replica, now);
    const std::chrono::duration<double> sample = std::max(elapsed, Duration(Microseconds(10)));
    const double factor = std::pow(sample / typical, 1.0 / latencyWeight);
    replica.typicalLatency = std::chrono::duration_cast<Duration>(typical * factor);
    replica.lastSample = now;
}

bool ReplicaTable::mayEject(TimePoint now) const
{
    int ejected = 0;
    int count = 0;
    for (const auto &[name, replica] : m_replicas) {
        ejected += !isUsable(replica, now) ? 1 : 0;
        count += replica.isRetired ? 0 : 1;
    }
    return m_ejection.mayEject(ejected, count);
}

std::vector<std::string> ReplicaTable::ejectUnresponsive(TimePoint now)
{
    std::vector<std::string> ejected;
    for (auto &[name, replica] : m_replicas) {
        const bool isUnresponsive = replica.inFlight > 0 && isUsable(replica, now)
            && m_ejection.isUnresponsive(replica.health, replica.latency, now);
        if (!isUnresponsive || !mayEject(now))
            continue;
        m_ejection.eject(replica.health, now);
        ejected.push_back(name);
    }
    return ejected;
}

bool ReplicaTable::ejectIfOutlier(Replica &replica, TimePoint now)
{
    if (!m_ejection.isOutlier(replica.health))
        return false;
    if (!mayEject(now))
        return false;
    m_ejection.eject(replica.health, now);
    return true;
}

void ReplicaTable::markDraining(const std::string &name, TimePoint now)
{
    const auto found = m_replicas.find(name);
    if (found == m_replicas.end())
        return;
    found->second.drainingUntil = now + drainReportTtl;
    found->second.rampedSlots = 1;
    found->second.repliesSinceRampStep = 0;
}

void ReplicaTable::setLeaving(const std::string &name, bool isLeaving)
{
    m_leaving[name] = isLeaving;
}

const Replica *ReplicaTable::find(const std::string &name) const
{
    const auto found = m_replicas.find(name);
    return found == m_replicas.end() ? nullptr : &found->second;
}

bool ReplicaTable::isSlow(const std::string &name, TimePoint now) const
{
    const Replica *replica = find(name);
    if (!replica)
        return false;
    const Duration latency = expectedLatency(*replica, now);
    return std::any_of(m_replicas.begin(), m_replicas.end(), [&](const auto &entry) {
        const Replica &other = entry.second;
        return entry.first != name && isUsable(other, now)
            && latency > expectedLatency(other, now) * maxHedgeSlowness;
    });
}

int ReplicaTable::totalSlots(TimePoint now) const
{
    int slots = 0;
    for (const auto &[name, replica] : m_replicas)
        slots += isUsable(replica, now) ? replica.slots : 0;
    return slots;
}

int ReplicaTable::liveReplicas(TimePoint now) const
{
    int live = 0;
    for (const auto &[name, replica] : m_replicas)
        live += isUsable(replica, now) ? 1 : 0;
    return live;
}

int ReplicaTable::slotsInUse() const
{
    int inUse = 0;
    for (const auto &[name, replica] : m_replicas)
        inUse += replica.inFlight;
    return inUse;
}

Duration ReplicaTable::meanLatency(TimePoint now) const
{
    Duration sum{0};
    int slots = 0;
    for (const auto &[name, replica] : m_replicas) {
        if (!isUsable(replica, now))
            continue;
        sum += replica.latency * replica.slots;
        slots += replica.slots;
    }
    return slots == 0 ? Duration{0} : sum / slots;
}

} // namespace gwt
