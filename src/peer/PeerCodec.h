#pragma once

#include "common/Outcome.h"
#include "peer/PeerClient.h"
#include "peer/PeerServer.h"

#include <functional>

namespace gwt {

/// \brief Wraps a handler of protobuf messages as a PeerHandler, which replies with status 400 to
/// a body that does not parse.
template <typename Request, typename Reply>
PeerHandler peerHandler(std::function<Task<Reply>(Request, PeerRequest)> handle)
{
    return [handle = std::move(handle)](PeerRequest raw) -> Task<PeerReply> {
        Request request;
        if (!request.ParseFromString(raw.body))
            co_return PeerReply{400, ""};
        raw.body.clear();
        const Reply reply = co_await handle(std::move(request), std::move(raw));
        co_return PeerReply{200, reply.SerializeAsString()};
    };
}

/// \brief Calls \a path at \a remote with protobuf messages.
///
/// Errors: those of PeerClient::call(), and Malformed "bad_peer_reply".
template <typename Reply, typename Request>
Task<Outcome<Reply>> callPeer(PeerClient &client, Endpoint remote, std::string path,
                              Request request, std::string requestId, TimePoint deadline,
                              CancelToken cancel)
{
    PeerRequest raw;
    raw.path = std::move(path);
    raw.body = request.SerializeAsString();
    raw.requestId = std::move(requestId);
    raw.deadline = deadline;
    raw.cancel = std::move(cancel);
    const Outcome<PeerReply> answer = co_await client.call(remote, std::move(raw));
    if (!isOk(answer))
        co_return errorOf(answer);
    Reply reply;
    if (!reply.ParseFromString(valueOf(answer).body))
        co_return Error{ErrorCode::Malformed, "bad_peer_reply", toString(remote)};
    co_return reply;
}

} // namespace gwt
