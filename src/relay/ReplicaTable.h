#pragma once

#include "common/Endpoint.h"
#include "common/Random.h"
#include "common/Time.h"
#include "relay/EjectionPolicy.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace gwt {

/// \brief State of one replica as seen by this relay.
struct Replica
{
    std::string name;
    Endpoint address;
    int slots = 1; ///< that this relay may use
    int connections = 1;
    bool isDraining = false; ///< by the configuration or the host list
    bool isRetired = false; ///< no longer configured; kept until its requests in flight have ended
    int inFlight = 0;
    int rampedSlots = 1; ///< slots usable during ramp-up, for a replica that is new or readmitted
    int repliesSinceRampStep = 0;
    Duration latency = std::chrono::milliseconds(5); ///< moving mean of the slot time
    /// Moving geometric mean: a single slow reply hardly changes it, a slow replica does.
    Duration typicalLatency = std::chrono::milliseconds(5);
    TimePoint lastSample; ///< time of the newest latency sample
    TimePoint drainingUntil; ///< reported by the replica itself; expires if not renewed
    ReplicaHealth health;
};

/// \brief How a replica is selected among those with a free slot.
enum class ReplicaPicker {
    LeastCompletionTime, ///< least expected completion time
    Random ///< a baseline for comparison
};

/// \brief Tracks the replicas of one service and selects among them. Has no I/O and reads no clock.
class ReplicaTable
{
public:
    ReplicaTable(ReplicaPicker picker, EjectionRules ejection, std::uint64_t seed);

    /// \brief Applies the configured replicas; those that stay keep their state.
    void configure(const std::vector<Replica> &replicas);

    /// \brief Selects the replica for the next attempt, other than \a excludedReplica; none if it
    /// should wait.
    ///
    /// With ReplicaPicker::LeastCompletionTime a free slot of a slow replica is left unused while
    /// waiting behind \a queued attempts for a faster one is expected to complete earlier.
    const Replica *pick(TimePoint now, std::size_t queued, const std::string &excludedReplica = {});
    /// \brief Occupies a slot of \a name.
    void acquireSlot(const std::string &name, TimePoint now);
    /// \brief Frees the slot and records the outcome; true if that ejected the replica.
    bool releaseSlot(const std::string &name, AttemptOutcome outcome, Duration elapsed,
                     TimePoint now);
    /// \brief Ejects replicas that have requests in flight and have not replied for too long;
    /// returns their names.
    std::vector<std::string> ejectUnresponsive(TimePoint now);
    /// \brief Records that the replica reported that it is draining, valid for 5 minutes. After
    /// that the replica gets one attempt at a time until it has answered some without that report.
    void markDraining(const std::string &name, TimePoint now);
    /// \brief Sets whether the host list reports that the host of \a name is leaving.
    void setLeaving(const std::string &name, bool isLeaving);

    const Replica *find(const std::string &name) const;
    /// \brief True if another replica is so much faster than \a name that no hedge is sent to
    /// \a name.
    bool isSlow(const std::string &name, TimePoint now) const;
    int totalSlots(TimePoint now) const;
    int liveReplicas(TimePoint now) const;
    int slotsInUse() const;
    /// \brief Mean slot time of the live replicas, weighted by their slots.
    Duration meanLatency(TimePoint now) const;

private:
    bool isUsable(const Replica &replica, TimePoint now) const;
    static bool hasFreeSlot(const Replica &replica);
    static Duration expectedLatency(const Replica &replica, TimePoint now);
    static Duration expectedWait(const Replica &replica, std::size_t queued, TimePoint now);
    const Replica *pickLeastCompletionTime(TimePoint now, std::size_t queued,
                                           const std::string &excludedReplica);
    const Replica *pickRandom(TimePoint now, const std::string &excludedReplica);
    void readmit(TimePoint now);
    static void addSample(Replica &replica, Duration elapsed, TimePoint now);
    bool mayEject(TimePoint now) const;
    bool ejectIfOutlier(Replica &replica, TimePoint now);

    const ReplicaPicker m_picker;
    EjectionPolicy m_ejection;
    RandomEngine m_random;
    std::map<std::string, Replica> m_replicas;
    std::map<std::string, bool> m_leaving;
};

} // namespace gwt
