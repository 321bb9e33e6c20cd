#include "entry/queries/SearchRequest.h"

#include <boost/json.hpp>

#include <set>

namespace gwt {

namespace json = boost::json;

namespace {

constexpr std::int64_t maxLimit = 1000;
constexpr std::int64_t maxDeadlineMs = 24LL * 3600 * 1000;

Error invalid(const std::string &field, const std::string &problem)
{
    return {ErrorCode::InvalidArgument, "bad_request", field + ": " + problem};
}

Outcome<std::string> requiredText(const json::object &object, const char *field)
{
    const json::value *value = object.if_contains(field);
    if (!value)
        return invalid(field, "is required");
    if (!value->is_string() || value->get_string().empty())
        return invalid(field, "must be a non-empty text");
    return std::string(value->get_string());
}

Outcome<std::int64_t> optionalInteger(const json::object &object, const char *field,
                                      std::int64_t fallback, std::int64_t max)
{
    const json::value *value = object.if_contains(field);
    if (!value)
        return fallback;
    if (!value->is_int64() || value->get_int64() < 1 || value->get_int64() > max)
        return invalid(field, "must be a whole number from 1 to " + std::to_string(max));
    return value->get_int64();
}

} // namespace

Outcome<SearchRequest> parseSearchRequest(const std::string &body)
{
    static const std::set<std::string> fields = {"index", "rank", "query", "limit", "deadline_ms"};
    boost::system::error_code failure;
    const json::value parsed = json::parse(body, failure);
    if (failure)
        return Error{ErrorCode::InvalidArgument, "bad_json", failure.message()};
    const json::object *object = parsed.if_object();
    if (!object)
        return Error{ErrorCode::InvalidArgument, "bad_json", "the body must be a JSON object"};
    for (const auto &member : *object) {
        if (!fields.count(std::string(member.key())))
            return invalid(std::string(member.key()), "unknown field");
    }
    SearchRequest request;
    for (const auto &[field, target] :
         {std::pair("index", &request.index), std::pair("rank", &request.rank),
          std::pair("query", &request.query)}) {
        Outcome<std::string> text = requiredText(*object, field);
        if (!isOk(text))
            return errorOf(text);
        *target = std::move(valueOf(text));
    }
    const Outcome<std::int64_t> limit = optionalInteger(*object, "limit", 10, maxLimit);
    if (!isOk(limit))
        return errorOf(limit);
    request.limit = static_cast<std::uint32_t>(valueOf(limit));
    const Outcome<std::int64_t> deadline
        = optionalInteger(*object, "deadline_ms", 0, maxDeadlineMs);
    if (!isOk(deadline))
        return errorOf(deadline);
    if (valueOf(deadline) > 0)
        request.deadline = Milliseconds(valueOf(deadline));
    return request;
}

} // namespace gwt
