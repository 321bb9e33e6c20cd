#include "load/BackendLoad.h"

#include <boost/json.hpp>

namespace gwt {

namespace json = boost::json;

namespace {

constexpr std::chrono::seconds countsTimeout{10};

} // namespace

Task<Outcome<std::uint64_t>> readStartedSearches(HttpClient &client, Endpoint backendAdmin)
{
    HttpRequest request;
    request.target = "/admin/counts";
    const auto response
        = co_await client.send(backendAdmin, std::move(request), Clock::now() + countsTimeout);
    if (!isOk(response))
        co_return errorOf(response);
    boost::system::error_code failure;
    const json::value parsed = json::parse(valueOf(response).body, failure);
    if (failure || !parsed.is_object())
        co_return Error{ErrorCode::Malformed, "bad_counts", failure.message()};
    std::uint64_t started = 0;
    for (const auto &server : parsed.get_object()) {
        const json::object *counts = server.value().if_object();
        const json::value *count = counts ? counts->if_contains("started") : nullptr;
        if (count && count->is_int64())
            started += static_cast<std::uint64_t>(count->get_int64());
        else if (count && count->is_uint64())
            started += count->get_uint64();
    }
    co_return started;
}

} // namespace gwt
