#pragma once

#include "common/Time.h"
#include "gateway/routing/Team.h"

#include <functional>

namespace gwt {

/// \brief Whether a request fits the quota of its team.
enum class QuotaOutcome {
    Granted,
    OverLimit, ///< the team has used up its quota
    Unknown ///< the quota could not be checked in time
};

/// \brief Answer to one request of a team.
struct QuotaDecision
{
    QuotaOutcome outcome = QuotaOutcome::Granted;
    /// Recent rate of the team in relation to its usual rate, over all processes; 1 if unknown.
    double excess = 1;
    const char *basis = "coordinator"; ///< what the decision rests on, for the log
};

/// \brief Checks requests against the quotas of teams, which hold over all processes together.
class QuotaGate
{
public:
    using Handler = std::function<void(QuotaDecision)>;

    virtual ~QuotaGate() = default;

    /// \brief Takes one request from the quota of \a team. \a handler runs once, at \a deadline at
    /// the latest, and may run before this returns.
    virtual void acquire(const Team &team, TimePoint deadline, Handler handler) = 0;
};

} // namespace gwt
