#include "relay/BackendReply.h"

#include <boost/json.hpp>

namespace gwt {

namespace json = boost::json;

namespace {

std::string textOf(const json::object &object, const char *name)
{
    const json::value *value = object.if_contains(name);
    return value && value->is_string() ? std::string(value->get_string()) : std::string();
}

std::uint64_t numberOf(const json::object &object, const char *name)
{
    const json::value *value = object.if_contains(name);
    if (!value)
        return 0;
    if (value->is_int64() && value->get_int64() >= 0)
        return static_cast<std::uint64_t>(value->get_int64());
    return value->is_uint64() ? value->get_uint64() : 0;
}

bool flagOf(const json::object &object, const char *name)
{
    const json::value *value = object.if_contains(name);
    return value && value->is_bool() && value->get_bool();
}

Error badReply(const std::string &detail)
{
    return {ErrorCode::Malformed, "bad_reply", detail};
}

Outcome<json::object> parseBody(const HttpResponse &response)
{
    boost::system::error_code failure;
    json::value parsed = json::parse(response.body, failure);
    if (failure || !parsed.is_object())
        return badReply("not a JSON object");
    return std::move(parsed.get_object());
}

/// \brief Maps a reply with a status other than 200 to an error.
Error statusError(const HttpResponse &response, const json::object &body)
{
    const std::string reason = textOf(body, "reason");
    if (response.status == 410)
        return {ErrorCode::NotFound, "version_gone", ""};
    if (response.status == 503 && flagOf(body, "not_run"))
        return {ErrorCode::NotRun, reason == "draining" ? "draining" : "shed", reason};
    if (response.status == 400)
        return {ErrorCode::InvalidArgument, "refused_by_backend", reason};
    return badReply("status " + std::to_string(response.status));
}

Outcome<std::vector<wire::Hit>> parseHits(const json::object &body, const BackendSearchRequest &leg)
{
    const json::value *list = body.if_contains("hits");
    if (!list || !list->is_array())
        return badReply("no hits");
    std::vector<wire::Hit> hits;
    for (const json::value &item : list->get_array()) {
        const json::object *object = item.if_object();
        const json::value *score = object ? object->if_contains("score") : nullptr;
        if (!score || !score->is_double())
            return badReply("a hit has no score");
        wire::Hit hit;
        hit.set_id(textOf(*object, "id"));
        hit.set_score(score->get_double());
        hit.set_text(textOf(*object, "text"));
        hit.set_service(leg.service);
        hit.set_version(leg.version);
        hits.push_back(std::move(hit));
    }
    return hits;
}

} // namespace

Outcome<BackendSearchReply> readSearchReply(const HttpResponse &response,
                                            const BackendSearchRequest &leg)
{
    const Outcome<json::object> parsed = parseBody(response);
    if (!isOk(parsed))
        return errorOf(parsed);
    const json::object &body = valueOf(parsed);
    if (response.status != 200)
        return statusError(response, body);
    const bool isOwn = textOf(body, "request_id") == leg.requestId
        && numberOf(body, "leg_id") == leg.attemptId && textOf(body, "service") == leg.service;
    if (!isOwn)
        return Error{ErrorCode::Malformed, "foreign_reply", textOf(body, "request_id")};
    if (numberOf(body, "version") != leg.version)
        return Error{ErrorCode::Malformed, "wrong_version", ""};
    Outcome<std::vector<wire::Hit>> hits = parseHits(body, leg);
    if (!isOk(hits))
        return errorOf(hits);
    return BackendSearchReply{std::move(valueOf(hits)), numberOf(body, "newest_version"),
                              flagOf(body, "draining")};
}

Outcome<std::string> readBookingReply(const HttpResponse &response,
                                      const BackendBookingRequest &leg)
{
    const Outcome<json::object> parsed = parseBody(response);
    if (!isOk(parsed))
        return errorOf(parsed);
    const json::object &body = valueOf(parsed);
    const bool isOwn = textOf(body, "key") == leg.key && textOf(body, "attempt") == leg.attempt;
    if (!isOwn)
        return Error{ErrorCode::Malformed, "foreign_reply", textOf(body, "key")};
    if (response.status != 200)
        return statusError(response, body);
    return textOf(body, "result");
}

} // namespace gwt
