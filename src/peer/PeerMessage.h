#pragma once

#include "common/CancelToken.h"
#include "common/Time.h"

#include <string>

namespace gwt {

/// \brief A request between two daemons, carried on one HTTP/2 stream.
struct PeerRequest
{
    std::string path; ///< operation, such as "/relay/search"
    std::string body; ///< serialized protobuf message
    std::string requestId; ///< id of the caller's request, propagated across all hops
    TimePoint deadline; ///< sent as the remaining time
    CancelToken cancel; ///< client: resets the stream; server: cancelled on reset or loss

    PeerRequest() = default;
    PeerRequest(std::string requestPath, std::string requestBody, std::string id, TimePoint end,
                CancelToken token = {})
        : path(std::move(requestPath))
        , body(std::move(requestBody))
        , requestId(std::move(id))
        , deadline(end)
        , cancel(std::move(token))
    { }
};

/// \brief The reply to a PeerRequest.
struct PeerReply
{
    int status = 200; ///< 200, 404 unknown path, 400 malformed, 503 draining
    std::string body;

    PeerReply() = default;
    PeerReply(int replyStatus, std::string replyBody)
        : status(replyStatus)
        , body(std::move(replyBody))
    { }
};

} // namespace gwt
