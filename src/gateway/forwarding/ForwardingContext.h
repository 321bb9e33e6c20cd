#pragma once

#include "gateway/backends/BackendFleet.h"
#include "gateway/callers/CallerExchange.h"
#include "gateway/forwarding/RecordMerge.h"
#include "gateway/forwarding/RequestRecorder.h"
#include "gateway/policy/AdmissionTable.h"
#include "gateway/policy/DeadlineCheck.h"
#include "gateway/policy/DeliveryTime.h"
#include "gateway/policy/HedgeTimer.h"
#include "gateway/policy/PartialAnswerPolicy.h"

namespace gwt {

/// \brief State shared by all requests of a process; outlives them.
struct ForwardingContext
{
    TimerQueue &timers;
    BackendFleet &backends;
    HedgeTimer &hedges;
    DeadlineCheck &deadlines;
    DeliveryTime &delivery;
    AdmissionTable &admission;
    const RecordMerge &merge;
    const HeaderNames &headerNames;
    Metrics &metrics;
    RequestRecorder &recorder;
    const int &fleetSize; ///< gateway processes that share the budgets
    const CostEstimator *costs = nullptr; ///< null: costs are not learned
};

/// \brief A request to forward, with its route and deadline.
struct RequestPlan
{
    std::shared_ptr<CallerExchange> exchange;
    std::shared_ptr<const RouteTable> routes; ///< the version in force when the request arrived
    const Route *route = nullptr; ///< points into \c routes
    const Team *team = nullptr; ///< of the caller; points into \c routes; null: anonymous
    int rank = 0; ///< of the team, else of the route
    std::shared_ptr<const ForwardRequest> request;
    std::shared_ptr<const CostKind> costKind; ///< null: costs are not learned
    double excess = 1; ///< recent rate of the team in relation to its usual rate
    TimePoint deadline; ///< the earlier of the caller's and the route's
    Duration waitedBefore{0}; ///< estimated time that the caller spent on earlier tries
};

} // namespace gwt
