#pragma once

#include "common/Time.h"

#include <cstddef>

namespace gwt {

/// \brief Load ahead of a request that waits for a connection to a backend server.
struct QueueAhead
{
    std::size_t queued = 0; ///< requests queued ahead
    int inFlight = 0; ///< requests being served
    int connections = 0; ///< connections that serve them
};

/// \brief Expected time until a request behind \a ahead is sent, if each takes \a requestTime.
///
/// With more requests than the connections of a service can carry, those that would expire in the
/// queue are refused at once.
Duration expectedWait(const QueueAhead &ahead, Duration requestTime);

} // namespace gwt
