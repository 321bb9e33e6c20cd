#include "booking/RangeRouter.h"

namespace gwt {

RangeRouter::RangeRouter(RangeTable &ranges, PeerClient &peers, Metrics &metrics)
    : m_ranges(ranges)
    , m_peers(peers)
    , m_metrics(metrics)
{ }

wire::BookReply RangeRouter::failureReply(const std::string &reason,
                                          wire::RunState failureState) const
{
    return failureState == wire::NOT_RUN ? notRunReply(reason) : unknownReply(reason);
}

void RangeRouter::countForward()
{
    m_metrics.counter("gwt_booking_forwards_total", "Requests forwarded to a range's holder")
        .Increment();
}

} // namespace gwt
