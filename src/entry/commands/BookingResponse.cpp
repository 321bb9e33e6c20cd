#include "entry/commands/BookingResponse.h"

#include "entry/ApiError.h"

#include <boost/json.hpp>

namespace gwt {

namespace json = boost::json;

HttpResponse bookingResponse(const std::string &key, const std::string &requestId,
                             const wire::BookReply &reply)
{
    if (reply.state() != wire::NOT_RUN)
        return bookingLookupResponse(key, requestId, reply);
    const bool isPermanent = reply.reason() == "key_used_for_another_booking";
    return apiError(isPermanent ? 422 : 503, reply.reason(), "the booking was not run",
                    RunStatus::NotRun, requestId,
                    isPermanent ? std::nullopt : std::optional(bookingRetryAfter));
}

HttpResponse bookingLookupResponse(const std::string &key, const std::string &requestId,
                                   const wire::BookReply &reply)
{
    json::object answer{{"key", key}, {"request_id", requestId}};
    if (!reply.reason().empty())
        answer["reason"] = reply.reason();
    if (reply.state() == wire::DONE) {
        answer["state"] = "done";
        answer["result"] = reply.result();
        return HttpResponse::json(200, json::serialize(answer));
    }
    if (reply.state() == wire::NOT_RUN) {
        answer["state"] = "notRun";
        return HttpResponse::json(200, json::serialize(answer));
    }
    answer["state"] = "unknown";
    answer["ask_again"] = "/v1/bookings/" + key;
    return HttpResponse::json(202, json::serialize(answer));
}

} // namespace gwt
