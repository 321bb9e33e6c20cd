#pragma once

#include "common/Time.h"
#include "http/HttpMessage.h"

#include <peer.pb.h>

#include <string>

namespace gwt {

/// \brief Time after which a caller may try a booking again that was not run.
inline constexpr Milliseconds bookingRetryAfter{1000};

/// \brief The response to POST /v1/bookings: 200 done, 202 unknown, 422 or 503 not run.
HttpResponse bookingResponse(const std::string &key, const std::string &requestId,
                             const wire::BookReply &reply);

/// \brief The response to GET /v1/bookings/{key}: 200 done or notRun, 202 unknown.
HttpResponse bookingLookupResponse(const std::string &key, const std::string &requestId,
                                   const wire::BookReply &reply);

} // namespace gwt
