#include "entry/ApiError.h"

#include <boost/json.hpp>

namespace gwt {

namespace json = boost::json;

HttpResponse apiError(int status, const std::string &code, const std::string &message,
                      RunStatus run, const std::string &requestId,
                      std::optional<Milliseconds> retryAfter)
{
    const json::object error{{"code", code},
                             {"message", message},
                             {"run", run == RunStatus::NotRun ? "notRun" : "unknown"},
                             {"request_id", requestId}};
    HttpResponse response
        = HttpResponse::json(status, json::serialize(json::object{{"error", error}}));
    if (retryAfter) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*retryAfter);
        response.headers["retry-after"] = std::to_string(std::max<long>(1, seconds.count()));
    }
    return response;
}

} // namespace gwt
