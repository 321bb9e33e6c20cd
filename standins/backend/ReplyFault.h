#pragma once

#include "http/HttpServer.h"

namespace gwt {

/// \brief Fault to inject when a reply is sent.
enum class ReplyFault {
    Dropped, ///< the connection closes before the first byte
    Truncated, ///< the connection closes in the middle of the body
    Duplicated, ///< the reply is sent twice
};

/// \brief Marks \a response for withReplyFault(); a second mark replaces the first.
void setReplyFault(HttpResponse &response, ReplyFault fault);

/// \brief Returns the bytes to send for a response after applying its mark; the mark is not sent.
HttpWireBytes withReplyFault(HttpWireBytes wire);

} // namespace gwt
