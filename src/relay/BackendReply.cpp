#include "relay/BackendReply.h"

#include <boost/json.hpp>

namespace gwt {

namespace json = boost::json;

namespace {

std::string stringField(const json::object &object, const char *name)
{
    const json::value *value = object.if_contains(name);
    return value && value->is_string() ? std::string(value->get_string()) : std::string();
}

std::uint64_t unsignedField(const json::object &object, const char *name)
{
    const json::value *value = object.if_contains(name);
    if (!value)
        return 0;
    if (value->is_int64() && value->get_int64() >= 0)
        return static_cast<std::uint64_t>(value->get_int64());
    return value->is_uint64() ? value->get_uint64() : 0;
}

bool boolField(const json::object &object, const char *name)
{
    const json::value *value = object.if_contains(name);
    return value && value->is_bool() && value->get_bool();
}

Error malformedReply(const std::string &detail)
{
    return {ErrorCode::Malformed, "bad_reply", detail};
}

Outcome<json::object> parseBody(const HttpResponse &response)
{
    boost::system::error_code failure;
    json::value parsed = json::parse(response.body, failure);
    if (failure || !parsed.is_object())
        return malformedReply("not a JSON object");
    return std::move(parsed.get_object());
}

/// \brief Maps a reply with a status other than 200 to an error.
Error statusError(const HttpResponse &response, const json::object &body)
{
    const std::string reason = stringField(body, "reason");
    if (response.status == 410)
        return {ErrorCode::NotFound, "version_gone", ""};
    if (response.status == 503 && boolField(body, "not_run"))
        return {ErrorCode::NotRun, reason == "draining" ? "draining" : "shed", reason};
    if (response.status == 400)
        return {ErrorCode::InvalidArgument, "refused_by_backend", reason};
    return malformedReply("status " + std::to_string(response.status));
}

Outcome<std::vector<wire::Hit>> parseHits(const json::object &body,
                                          const BackendSearchRequest &request)
{
    const json::value *list = body.if_contains("hits");
    if (!list || !list->is_array())
        return malformedReply("no hits");
    std::vector<wire::Hit> hits;
    for (const json::value &item : list->get_array()) {
        const json::object *object = item.if_object();
        const json::value *score = object ? object->if_contains("score") : nullptr;
        if (!score || !score->is_double())
            return malformedReply("a hit has no score");
        wire::Hit hit;
        hit.set_id(stringField(*object, "id"));
        hit.set_score(score->get_double());
        hit.set_text(stringField(*object, "text"));
        hit.set_service(request.service);
        hit.set_version(request.version);
        hits.push_back(std::move(hit));
    }
    return hits;
}

} // namespace

Outcome<BackendSearchReply> parseSearchReply(const HttpResponse &response,
                                             const BackendSearchRequest &request)
{
    const Outcome<json::object> parsed = parseBody(response);
    if (!isOk(parsed))
        return errorOf(parsed);
    const json::object &body = valueOf(parsed);
    if (response.status != 200)
        return statusError(response, body);
    const bool matchesRequest = stringField(body, "request_id") == request.requestId
        && unsignedField(body, "leg_id") == request.attemptId
        && stringField(body, "service") == request.service;
    if (!matchesRequest)
        return Error{ErrorCode::Malformed, "foreign_reply", stringField(body, "request_id")};
    if (unsignedField(body, "version") != request.version)
        return Error{ErrorCode::Malformed, "wrong_version", ""};
    Outcome<std::vector<wire::Hit>> hits = parseHits(body, request);
    if (!isOk(hits))
        return errorOf(hits);
    return BackendSearchReply{std::move(valueOf(hits)), unsignedField(body, "newest_version"),
                              boolField(body, "draining")};
}

Outcome<std::string> parseBookingReply(const HttpResponse &response,
                                       const BackendBookingRequest &request)
{
    const Outcome<json::object> parsed = parseBody(response);
    if (!isOk(parsed))
        return errorOf(parsed);
    const json::object &body = valueOf(parsed);
    const bool matchesRequest = stringField(body, "key") == request.key
        && stringField(body, "attempt") == request.attempt;
    if (!matchesRequest)
        return Error{ErrorCode::Malformed, "foreign_reply", stringField(body, "key")};
    if (response.status != 200)
        return statusError(response, body);
    return stringField(body, "result");
}

} // namespace gwt
