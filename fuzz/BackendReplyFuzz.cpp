#include "relay/BackendReply.h"

#include <array>

/// \brief Feeds arbitrary bodies and statuses to the parsers of backend server replies.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    constexpr std::array statuses = {200, 400, 410, 503, 500};
    if (size == 0)
        return 0;
    gwt::HttpResponse response;
    response.status = statuses[data[0] % statuses.size()];
    response.body.assign(reinterpret_cast<const char *>(data) + 1, size - 1);
    const gwt::BackendSearchRequest request{"request", 1,      "index", "service",
                                            1,         "rank", "query", 10};
    gwt::parseSearchReply(response, request);
    gwt::parseBookingReply(response, {"request", "key", "attempt", "service", "payload"});
    return 0;
}
