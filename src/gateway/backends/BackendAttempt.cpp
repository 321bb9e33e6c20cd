#include "gateway/backends/BackendAttempt.h"

#include "gateway/backends/BackendServer.h"
#include "http/StatusClass.h"

namespace gwt {

namespace http = boost::beast::http;

bool isRefusal(const WireResponse &response, const HeaderNames &names)
{
    return response.result() == http::status::misdirected_request
        || response.count(names.notRun) > 0;
}

AttemptReply makeReply(const BackendAttempt &attempt, Outcome<WireResponse> outcome,
                       const HeaderNames &names, TimePoint now)
{
    AttemptReply reply;
    reply.backendId = attempt.server->entry().id;
    reply.elapsed = now - attempt.sentAt;
    if (!isOk(outcome)) {
        const Error &error = errorOf(outcome);
        reply.result = error.code == ErrorCode::Unavailable ? AttemptResult::NotSent
                                                            : AttemptResult::Unknown;
        reply.reason = error.reason;
        return reply;
    }
    WireResponse &response = valueOf(outcome);
    if (isRefusal(response, names)) {
        const bool isMisdirected = response.result() == http::status::misdirected_request;
        reply.result = AttemptResult::NotRun;
        reply.reason = isMisdirected ? misdirectedReason : "refused_by_backend";
        reply.isUnproven = response.count(names.requestId) == 0 && !attempt.isFirstOnConnection
            && attempt.server->echoesIds();
    } else {
        reply.result = AttemptResult::Answered;
    }
    reply.response = std::move(response);
    return reply;
}

SendResult sendResultOf(const AttemptReply &reply)
{
    if (reply.result == AttemptResult::NotRun)
        return SendResult::Refused;
    const bool isServed = reply.result == AttemptResult::Answered
        && statusClassOf(reply.response->result_int()) != StatusClass::ServerError;
    return isServed ? SendResult::Served : SendResult::Failed;
}

} // namespace gwt
