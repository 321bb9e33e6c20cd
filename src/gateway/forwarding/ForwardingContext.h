#pragma once

#include "gateway/backends/BackendFleet.h"
#include "gateway/callers/CallerExchange.h"
#include "gateway/forwarding/RecordMerge.h"
#include "gateway/forwarding/RequestRecorder.h"
#include "gateway/policy/AdmissionTable.h"
#include "gateway/policy/DeliveryTime.h"
#include "gateway/policy/HedgeTimer.h"
#include "gateway/policy/PartialAnswerPolicy.h"

namespace gwt {

/// \brief What all requests of a process share; outlives them.
struct ForwardingContext
{
    TimerQueue &timers;
    BackendFleet &backends;
    HedgeTimer &hedges;
    DeliveryTime &delivery;
    AdmissionTable &admission;
    const RecordMerge &merge;
    const HeaderNames &names;
    Metrics &metrics;
    RequestRecorder &recorder;
    const int &fleetSize; ///< processes that share the budgets
};

/// \brief A request on its way, with what bounds it.
struct RequestPlan
{
    std::shared_ptr<CallerExchange> exchange;
    std::shared_ptr<const RouteTable> routes; ///< the version that the request started with
    const Route *route = nullptr; ///< of \c routes
    std::shared_ptr<const ForwardRequest> request;
    TimePoint deadline; ///< the earlier of the caller's and the route's
    Duration waitedBefore{0}; ///< by the caller, before this try; estimated
};

} // namespace gwt
