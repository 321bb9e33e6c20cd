#pragma once

#include "common/TimerQueue.h"
#include "gateway/backends/BackendEntry.h"
#include "gateway/backends/BackendScore.h"
#include "gateway/forwarding/ForwardRequest.h"
#include "gateway/forwarding/HeaderNames.h"
#include "gateway/policy/CostEstimator.h"
#include "http/ClientConnection.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace gwt {

class BackendServer;

/// \brief Outcome of an attempt.
enum class AttemptResult {
    Answered, ///< the backend server sent its own response, of any status
    NotRun, ///< the backend server reported that it did not run the request
    NotSent, ///< no byte left this process
    Unknown ///< the request was sent and may have run
};

/// Reason of an attempt that was still queued when it became too late for an answer.
inline constexpr const char *waitExpiredReason = "wait_expired";
/// Reason of an attempt that was rejected because its expected wait left no time for an answer.
inline constexpr const char *queueTooLongReason = "queue_too_long";
/// Reason of an attempt that reached another instance than the one it was sent to.
inline constexpr const char *misdirectedReason = "misdirected";

/// \brief How an attempt ended, with the response if there is one.
struct AttemptReply
{
    AttemptResult result = AttemptResult::NotSent;
    std::string backendId; ///< empty if it was never assigned to a server
    std::optional<WireResponse> response; ///< set with Answered and NotRun
    std::string reason; ///< metric label; set if there is no answer
    /// The server closed a new connection without a reply: it seems to be at its connection limit.
    /// That is no proof that the request hasn't run.
    bool isAtConnectionLimit = false;
    /// With NotRun: the refusal may be left over from an earlier request on the connection.
    bool isUnproven = false;
    Duration elapsed{0}; ///< from the send to the end

    /// \brief True if the backend server may have started to run the request.
    bool mayHaveRun() const
    {
        return result == AttemptResult::Answered || result == AttemptResult::Unknown;
    }
};

/// \brief One attempt to get a request answered by a backend server of a service.
///
/// It waits in the queue of its service until a connection is free.
struct BackendAttempt
{
    using Handler = std::function<void(AttemptReply)>;

    std::shared_ptr<const ForwardRequest> request;
    int rank = 0;
    bool isIdempotent = true;
    TimePoint deadline; ///< sent to the backend server, as the time left
    Duration typicalLatency{0}; ///< of attempts of the same route
    std::shared_ptr<const CostKind> costKind; ///< null: costs are not learned
    CostEstimate cost;
    std::vector<std::string> excluded; ///< ids of backend servers
    std::string requiredServer; ///< id of the only backend server allowed; empty: any
    Handler handler; ///< empty once nobody waits for the reply

    // Set by the ServicePool.
    std::uint64_t number = 0;
    std::shared_ptr<BackendServer> server; ///< null while it is queued
    std::shared_ptr<ClientConnection> connection;
    bool isFirstOnConnection = true; ///< no response preceded it, of which bytes may be left over
    TimePoint sentAt;
    TimerQueue::Id deadlineTimer;
    TimerQueue::Id queueTimer; ///< set while it is queued
    bool isEnded = false;
};

/// \brief True if \a response states that the backend server did not run the request.
bool isRefusal(const WireResponse &response, const HeaderNames &names);
/// \brief Interprets the end of the exchange of \a attempt, which was sent.
AttemptReply makeReply(const BackendAttempt &attempt, Outcome<WireResponse> outcome,
                       const HeaderNames &names, TimePoint now);
/// \brief What \a reply of a sent attempt says about the health of its server.
SendResult sendResultOf(const AttemptReply &reply);

} // namespace gwt
