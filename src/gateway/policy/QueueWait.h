#pragma once

#include "common/Time.h"

#include <cstddef>

namespace gwt {

/// \brief Queue ahead of a leg, the request to one shard, that waits for a connection.
struct QueueAhead
{
    std::size_t queued = 0; ///< legs queued ahead
    int inFlight = 0; ///< legs being served
    int connections = 0; ///< connections that serve them
};

/// \brief Expected time until a leg behind \a ahead is sent, if each leg takes \a usual.
///
/// With more requests than the connections of a service can carry, those that would expire in the
/// queue are refused at once.
Duration expectedWait(const QueueAhead &ahead, Duration usual);

} // namespace gwt
