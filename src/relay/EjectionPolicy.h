#pragma once

#include "common/Time.h"
#include "relay/AttemptOutcome.h"

namespace gwt {

/// \brief Health state of a replica, as seen from its replies.
struct ReplicaHealth
{
    int consecutiveFailures = 0;
    int consecutiveOverruns = 0;
    int consecutiveAnswers = 0;
    int ejections = 0; ///< in a row, without a recovery in between
    bool isEjected = false;
    bool isOnProbation = false; ///< readmitted after an ejection, no reply yet
    TimePoint ejectedUntil; ///< meaningful while isEjected
    TimePoint noReplySince; ///< last reply, or start of the first request after an idle time
};

/// \brief Parameters of outlier ejection.
struct EjectionRules
{
    bool isEnabled = true;
    int maxFailures = 3; ///< in a row
    int maxOverruns = 20; ///< in a row; a slow replica that answers some requests is still useful
    double maxEjectedShare = 0.5; ///< of a service's replicas, at the same time
    double noReplyLatencyFactor = 10; ///< multiple of its usual latency without a reply
    Duration noReplyTimeout = std::chrono::seconds(1); ///< with requests in flight
    Duration baseEjectionTime = std::chrono::seconds(1); ///< doubles with each ejection in a row
    Duration maxEjectionTime = std::chrono::seconds(30);
    int recoveryAnswers = 20; ///< in a row, after which earlier ejections no longer count
};

/// \brief Decides when a replica is ejected and readmitted. Has no I/O and reads no clock.
class EjectionPolicy
{
public:
    explicit EjectionPolicy(EjectionRules rules = {});

    /// \brief Records the end of an attempt in \a health.
    void record(ReplicaHealth &health, AttemptOutcome outcome) const;
    /// \brief True if the outcomes recorded in \a health call for an ejection.
    bool isOutlier(const ReplicaHealth &health) const;
    /// \brief True if a replica with requests in flight has not replied for too long.
    ///
    /// \a latency is the replica's usual latency, so that a slow one is not ejected for it.
    bool isUnresponsive(const ReplicaHealth &health, Duration latency, TimePoint now) const;
    /// \brief True if one more of \a replicas may be ejected while \a ejected already are.
    bool mayEject(int ejected, int replicas) const;
    void eject(ReplicaHealth &health, TimePoint now) const;
    /// \brief Ends an ejection whose time is over; returns true if it did.
    bool readmit(ReplicaHealth &health, TimePoint now) const;

private:
    EjectionRules m_rules;
};

} // namespace gwt
