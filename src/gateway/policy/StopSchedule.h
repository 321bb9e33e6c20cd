#pragma once

#include "common/Time.h"

namespace gwt {

/// \brief When the stages of a graceful stop begin, counted from the stop signal.
struct StopSchedule
{
    Milliseconds closeIdle{0}; ///< idle connections are closed from now on
    Milliseconds closeListener{0}; ///< the latest time for a new connection
    Milliseconds endRequests{0}; ///< requests still open get a response without a result
    Milliseconds exit{0}; ///< the process ends even if a response is not fully sent

    /// \brief Returns the schedule of a stop that may take \a limit, and has to serve for
    /// \a announceTime until its callers have noticed. Scales down to a \a limit of 0.
    static StopSchedule within(Milliseconds limit, Milliseconds announceTime);
};

} // namespace gwt
