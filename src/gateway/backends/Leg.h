#pragma once

#include "common/TimerQueue.h"
#include "gateway/backends/BackendEntry.h"
#include "gateway/forwarding/ForwardRequest.h"
#include "http/ClientConnection.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace gwt {

class BackendServer;

/// \brief How a leg ended.
enum class LegResult {
    Answered, ///< the backend server's own answer, of any status
    NotRun, ///< the backend server says that it did not run it
    NotSent, ///< no byte left this process
    Unknown ///< it was sent and may have run
};

/// Reason of a leg that was not sent while there was time to answer it.
inline constexpr const char *waitExpired = "wait_expired";
/// Reason of a leg that would wait too long for that.
inline constexpr const char *queueTooLong = "queue_too_long";

/// \brief The end of a leg.
struct LegReply
{
    LegResult result = LegResult::NotSent;
    std::string backendId; ///< empty if the leg was never assigned
    std::optional<WireResponse> response; ///< with Answered and NotRun
    std::string reason; ///< of an end without an answer, as metric label
    bool isOverLimit = false; ///< the server took no further connection; it has most likely not run
    Duration elapsed{0}; ///< from the send to the end
};

/// \brief One send of a request to a backend server of one service.
///
/// It waits in the queue of its service until a connection is free.
struct Leg
{
    using Handler = std::function<void(LegReply)>;

    std::shared_ptr<const ForwardRequest> request;
    int rank = 0;
    bool isIdempotent = true;
    TimePoint deadline; ///< told to the backend server
    Duration typicalLatency{0}; ///< latency that a leg of this route usually has
    std::vector<std::string> avoid; ///< backend servers that it must not go to
    std::string only; ///< the one backend server that it may go to; empty: any
    Handler handler; ///< empty once nobody waits for the reply

    // Filled in while it runs.
    std::uint64_t number = 0;
    std::shared_ptr<BackendServer> server; ///< null while it waits
    std::shared_ptr<ClientConnection> connection;
    TimePoint sentAt;
    TimerQueue::Id expiry;
    TimerQueue::Id waitExpiry; ///< while it waits
    bool isEnded = false;
};

} // namespace gwt
