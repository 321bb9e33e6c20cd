#pragma once

#include "gateway/backends/BackendPicker.h"

namespace gwt {

/// \brief Expects the typical latency of the route, scaled by the health and the number of requests
/// in flight; see BackendScore.
class LatencyPicker : public BackendPicker
{
public:
    Duration expected(const ServerLoad &server, Duration typicalLatency,
                      const CostEstimate & /*cost*/, TimePoint now) const override
    {
        return server.score.expected(typicalLatency, server.inFlight, server.slots,
                                     server.oldestAge, server.isOtherZone, now);
    }
};

} // namespace gwt
