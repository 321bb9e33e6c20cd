#include "gateway/forwarding/Refusal.h"

#include <cstdio>

namespace gwt {

CallerResponse makeRefusal(unsigned status, const std::string &reason,
                           std::optional<Milliseconds> retryAfter)
{
    CallerResponse response;
    response.status = status;
    response.fields.emplace_back("Content-Type", "application/json");
    if (retryAfter) {
        char seconds[32];
        std::snprintf(seconds, sizeof(seconds), "%.3f",
                      std::chrono::duration<double>(*retryAfter).count());
        response.fields.emplace_back("Retry-After", seconds);
    }
    response.body = R"({"error":")" + reason + "\"}";
    return response;
}

} // namespace gwt
