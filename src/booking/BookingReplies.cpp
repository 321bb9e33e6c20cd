#include "booking/BookingReplies.h"

namespace gwt {

wire::BookReply notRunReply(const std::string &reason)
{
    wire::BookReply reply;
    reply.set_state(wire::NOT_RUN);
    reply.set_reason(reason);
    return reply;
}

wire::BookReply unknownReply(const std::string &reason)
{
    wire::BookReply reply;
    reply.set_state(wire::UNKNOWN);
    reply.set_reason(reason);
    return reply;
}

wire::BookReply replyFromRecord(const wire::BookingRecord &record)
{
    if (record.state() == wire::BookingRecord::NOT_RUN)
        return notRunReply(record.reason());
    if (record.state() != wire::BookingRecord::DONE)
        return unknownReply("sent_without_outcome");
    wire::BookReply reply;
    reply.set_state(wire::DONE);
    reply.set_result(record.result());
    reply.set_reason(record.reason());
    return reply;
}

wire::BookReply rangeLostReply()
{
    wire::BookReply reply;
    reply.set_reason("range_lost");
    return reply;
}

bool isRangeLost(const wire::BookReply &reply)
{
    return reply.state() == wire::RUN_STATE_UNSPECIFIED;
}

} // namespace gwt
