#include "common/Log.h"
#include "gateway/backends/ServicePool.h"

#include <boost/asio/post.hpp>

namespace gwt {

bool ServicePool::onResponseHead(const std::shared_ptr<BackendAttempt> &attempt,
                                 const WireResponse &head)
{
    const auto id = head.find(m_context.headerNames.requestId);
    if (id != head.end() && id->value() != attempt->request->id())
        return false;
    if (id != head.end())
        attempt->server->recordEchoedId();
    const TimePoint now = Clock::now();
    if (m_context.costs)
        m_context.costs->readReport(*attempt->server, head, m_context.headerNames, now);
    const auto until
        = m_context.holds.record(m_service, *attempt->server, head, attempt->request->id(), now);
    if (until)
        startHold(attempt->server, *until, now);
    return id != head.end() || belongsWithoutId(*attempt, head);
}

bool ServicePool::belongsWithoutId(const BackendAttempt &attempt, const WireResponse &head)
{
    const bool refuses = isRefusal(head, m_context.headerNames);
    if (refuses)
        attempt.server->recordAnonymousRefusal();
    if (attempt.isFirstOnConnection)
        return true;
    // A faulty server may have sent it behind an earlier response. Taken for proof, it would have a
    // request that may run only once run again elsewhere.
    return refuses ? attempt.isIdempotent : !attempt.server->echoesIds();
}

void ServicePool::startHold(const std::shared_ptr<BackendServer> &server, TimePoint until,
                            TimePoint now)
{
    const auto registered = m_servers.find(server->entry().id);
    if (registered == m_servers.end() || registered->second != server) {
        // The instance may be registered again, or already be.
        m_context.holds.retain(*server, now);
        if (registered != m_servers.end())
            m_context.holds.restore(*registered->second);
    }
    // Queued attempts may have no server left. The connection of the response must not be closed
    // while it parses.
    boost::asio::post(m_context.ioContext, [this] { dispatch(); });
    if (until == TimePoint::max())
        return;
    m_context.timers.at(until, [this, server] {
        const TimePoint end = Clock::now();
        if (server->hold().isActive(end))
            return;
        m_context.holds.logEnd(m_service, *server, HoldReason::Shedding, "time", end);
        dispatch();
    });
}

void ServicePool::onReply(const std::shared_ptr<BackendAttempt> &attempt,
                          Outcome<WireResponse> outcome)
{
    const TimePoint now = Clock::now();
    AttemptReply reply = makeReply(*attempt, std::move(outcome), m_context.headerNames, now);
    BackendServer &server = *attempt->server;
    if (reply.response)
        server.resetConnectBackoff();
    if (reply.result == AttemptResult::Answered)
        server.hold().recordServed(attempt->sentAt);
    reply.isAtConnectionLimit = reply.result == AttemptResult::Unknown
        && reply.reason == "connection_lost" && !attempt->connection->hasReceivedResponse();
    if (reply.isAtConnectionLimit)
        m_connector.backOff(*attempt->server);
    if (reply.reason == misdirectedReason) {
        logInfo("backend_misdirected", {{"service", m_service}, {"backend", server.entry().id}});
        server.retire();
    }
    // A second copy of the refusal could come here in place of the answer to a retry.
    if (reply.result == AttemptResult::NotRun && !attempt->isIdempotent)
        attempt->connection->close();
    if (!reply.isAtConnectionLimit)
        server.score().record(sendResultOf(reply), reply.elapsed, attempt->typicalLatency, now);
    if (m_context.costs)
        m_context.costs->learn(*attempt, reply, m_servers, now);
    finish(attempt, std::move(reply));
}

} // namespace gwt
