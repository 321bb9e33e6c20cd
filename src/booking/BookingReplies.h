#pragma once

#include <journal.pb.h>
#include <peer.pb.h>

#include <string>

namespace gwt {

/// \brief A reply that guarantees that this request was not run and will not be.
wire::BookReply notRunReply(const std::string &reason);
wire::BookReply unknownReply(const std::string &reason);
/// \brief The reply for a journalled record.
wire::BookReply replyFromRecord(const wire::BookingRecord &record);
/// \brief The range was lost before any effect; route the request again. Never leaves the module.
wire::BookReply rangeLostReply();
bool isRangeLost(const wire::BookReply &reply);

} // namespace gwt
