#include "gateway/policy/StopSchedule.h"

#include <algorithm>

namespace gwt {

namespace {

/// For the requests of the last connections that are accepted.
constexpr Milliseconds finishTime{750};
/// For the last responses to reach their callers before the sockets are closed.
constexpr Milliseconds deliveryTime{250};

} // namespace

StopSchedule StopSchedule::within(Milliseconds limit, Milliseconds announceTime)
{
    StopSchedule schedule;
    schedule.exit = std::max(limit, Milliseconds(0));
    schedule.endRequests = schedule.exit - std::min(deliveryTime, schedule.exit / 4);
    schedule.closeListener = schedule.endRequests - std::min(finishTime, schedule.endRequests / 2);
    schedule.closeIdle = std::min(announceTime, schedule.closeListener);
    return schedule;
}

} // namespace gwt
