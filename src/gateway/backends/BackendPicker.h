#pragma once

#include "gateway/backends/BackendScore.h"
#include "gateway/backends/ServerWork.h"

namespace gwt {

/// \brief How backend servers are chosen.
enum class PickerKind {
    Latency, ///< by the typical latency of the route
    WorkLeft ///< by the expected cost of the request and of those in flight
};

/// \brief What a picker knows of one backend server.
struct ServerLoad
{
    const BackendScore &score;
    const ServerWork &work; ///< without content unless costs are learned
    int inFlight = 0; ///< requests of this process
    int slots = 1;
    Duration oldestAge{0}; ///< of the requests in flight
    bool isOtherZone = false;
};

/// \brief Predicts when a request would complete at a backend server; the lowest is chosen.
class BackendPicker
{
public:
    virtual ~BackendPicker() = default;

    /// \brief \a typicalLatency is that of the request's route.
    virtual Duration expected(const ServerLoad &server, Duration typicalLatency,
                              const CostEstimate &cost, TimePoint now) const = 0;
};

} // namespace gwt
