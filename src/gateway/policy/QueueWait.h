#pragma once

#include "common/Time.h"

#include <cstddef>

namespace gwt {

/// \brief What stands before a leg that waits for a connection.
struct QueueAhead
{
    std::size_t legs = 0; ///< that go first
    int inFlight = 0; ///< legs that are being served
    int connections = 0; ///< that serve them
};

/// \brief Time until a leg behind \a ahead is sent, if each leg takes \a usual.
///
/// Answers the pattern of more requests than the connections of a service can carry: those that
/// would wait in vain are refused at once.
Duration expectedWait(const QueueAhead &ahead, Duration usual);

} // namespace gwt
