#include "gateway/backends/ServicePool.h"

#include "common/Log.h"
#include "gateway/policy/QueueWait.h"

#include <algorithm>

namespace gwt {

namespace http = boost::beast::http;

namespace {

constexpr std::size_t maxReplyBytes = 8U << 20U;
/// Covers round trip, handshake and the server's accept; after it the server counts as unreachable.
constexpr Milliseconds connectTimeout{300};
/// Added to the expected latency at a server that needs a new connection: the handshake takes a
/// slot.
constexpr Milliseconds connectCost{8};
/// Wait for a reply after the deadline, at which the server stops working on the request.
constexpr Milliseconds replyGrace{40};
/// A non-idempotent request is not sent on a connection idle for longer: the server may be closing
/// it.
constexpr Milliseconds maxIdleNonIdempotent{500};

} // namespace

ServicePool::ServicePool(PoolContext &context, std::string service, RetryBudgetRules budget)
    : m_context(context)
    , m_service(std::move(service))
    , m_budget(budget)
{ }

void ServicePool::setServer(const BackendEntry &entry)
{
    std::shared_ptr<BackendServer> &server = m_servers[entry.id];
    const bool isSame = server && server->entry().address == entry.address
        && server->entry().incarnation == entry.incarnation;
    if (isSame) {
        server->setEntry(entry);
    } else {
        if (server) {
            server->retire();
            server->closeIdleConnections();
        }
        server = std::make_shared<BackendServer>(entry);
    }
    if (entry.isDraining)
        server->closeIdleConnections();
    dispatch();
}

void ServicePool::removeServer(const std::string &id)
{
    const auto server = m_servers.find(id);
    if (server == m_servers.end())
        return;
    server->second->retire();
    server->second->closeIdleConnections();
    m_servers.erase(server);
    dispatch();
}

bool ServicePool::isCandidate(const BackendServer &server, const std::vector<std::string> &excluded,
                              TimePoint now) const
{
    return server.isUsable() && !server.score().isInBackoff(now)
        && std::find(excluded.begin(), excluded.end(), server.entry().id) == excluded.end();
}

bool ServicePool::hasServer(TimePoint now, const std::vector<std::string> &excluded) const
{
    return std::any_of(m_servers.begin(), m_servers.end(),
                       [&](const auto &each) { return isCandidate(*each.second, excluded, now); });
}

bool ServicePool::isCandidate(const BackendServer &server, const BackendAttempt &attempt,
                              TimePoint now) const
{
    return (attempt.requiredServer.empty() || attempt.requiredServer == server.entry().id)
        && isCandidate(server, attempt.excluded, now);
}

bool ServicePool::hasCandidate(const BackendAttempt &attempt, TimePoint now) const
{
    return std::any_of(m_servers.begin(), m_servers.end(),
                       [&](const auto &each) { return isCandidate(*each.second, attempt, now); });
}

void ServicePool::submit(const std::shared_ptr<BackendAttempt> &attempt)
{
    attempt->number = ++m_lastNumber;
    ++m_openAttempts;
    attempt->deadlineTimer
        = m_context.timers.at(attempt->deadline + replyGrace, [this, attempt] { expire(attempt); });
    enqueue(attempt);
    dispatch();
    if (!attempt->server && !attempt->isEnded)
        limitQueueWait(attempt);
}

void ServicePool::limitQueueWait(const std::shared_ptr<BackendAttempt> &attempt)
{
    const TimePoint now = Clock::now();
    QueueAhead ahead;
    for (const std::shared_ptr<BackendAttempt> &other : m_queue) {
        if (other == attempt)
            break;
        ++ahead.queued;
    }
    for (const auto &[id, server] : m_servers) {
        if (!isCandidate(*server, *attempt, now))
            continue;
        ahead.connections += m_connectionShare;
        ahead.inFlight += server->inFlight();
    }
    // Sent later, the attempt is answered too late.
    const TimePoint latest = attempt->deadline - attempt->typicalLatency;
    if (now + expectedWait(ahead, attempt->typicalLatency) > latest) {
        AttemptReply reply;
        reply.reason = queueTooLongReason;
        finish(attempt, std::move(reply));
        return;
    }
    attempt->queueTimer = m_context.timers.at(latest, [this, attempt] {
        if (!attempt->server)
            expire(attempt);
    });
}

void ServicePool::enqueue(const std::shared_ptr<BackendAttempt> &attempt)
{
    const auto position = std::find_if(m_queue.begin(), m_queue.end(), [&](const auto &other) {
        return other->rank > attempt->rank;
    });
    m_queue.insert(position, attempt);
}

void ServicePool::dispatch()
{
    if (m_isDispatching || m_queue.empty())
        return;
    m_isDispatching = true;
    const TimePoint now = Clock::now();
    std::map<BackendServer *, int> neededConnections; ///< of queued attempts
    std::vector<std::shared_ptr<BackendAttempt>> withoutServer;
    for (auto it = m_queue.begin(); it != m_queue.end();) {
        const std::shared_ptr<BackendAttempt> attempt = *it;
        if (!hasCandidate(*attempt, now)) {
            it = m_queue.erase(it);
            withoutServer.push_back(attempt);
            continue;
        }
        const Choice choice = choose(*attempt, now);
        if (choice.connection) {
            it = m_queue.erase(it);
            send(attempt, choice, now);
            continue;
        }
        if (choice.server
            && ++neededConnections[choice.server.get()] > choice.server->pendingConnects())
            openConnection(choice.server);
        ++it;
    }
    m_isDispatching = false;
    for (const std::shared_ptr<BackendAttempt> &attempt : withoutServer) {
        AttemptReply reply;
        reply.reason = "no_server";
        finish(attempt, std::move(reply));
    }
}

ServicePool::Choice ServicePool::choose(const BackendAttempt &attempt, TimePoint now)
{
    Choice best;
    Duration bestCost = Duration::max();
    const Duration maxIdle
        = attempt.isIdempotent ? Duration::max() : Duration(maxIdleNonIdempotent);
    for (const auto &[id, server] : m_servers) {
        if (!isCandidate(*server, attempt, now))
            continue;
        auto connection = server->idleConnection(now, maxIdle);
        const bool mayOpen = server->pendingConnects() > 0
            || (server->connections() < m_connectionShare && now >= server->connectBackoffUntil());
        if (!connection && !mayOpen)
            continue;
        Duration cost = expectedLatency(*server, attempt.typicalLatency, now);
        if (!connection)
            cost += connectCost;
        if (cost < bestCost) {
            bestCost = cost;
            best = {server, std::move(connection)};
        }
    }
    return best;
}

Duration ServicePool::expectedLatency(const BackendServer &server, Duration typicalLatency,
                                      TimePoint now) const
{
    const bool isOtherZone = server.entry().availabilityZone != m_context.availabilityZone;
    return server.score().expected(typicalLatency, server.inFlight(), server.entry().slots,
                                   server.oldestAttemptAge(now), isOtherZone, now);
}

Duration ServicePool::expectedLatency(Duration typicalLatency,
                                      const std::vector<std::string> &excluded, TimePoint now) const
{
    Duration least = Duration::max();
    for (const auto &[id, server] : m_servers) {
        if (isCandidate(*server, excluded, now))
            least = std::min(least, expectedLatency(*server, typicalLatency, now));
    }
    return least;
}

void ServicePool::openConnection(const std::shared_ptr<BackendServer> &server)
{
    if (server->connections() >= m_connectionShare)
        return;
    server->beginConnect();
    auto connection
        = std::make_shared<ClientConnection>(m_context.ioContext, m_context.timers, maxReplyBytes,
                                             ClientConnection::Probing::Off, &m_context.replyBytes);
    connection->connect(server->entry().address, connectTimeout,
                        [this, server, connection](const Outcome<Done> &outcome) {
                            server->endConnect();
                            if (isOk(outcome))
                                onConnected(server, connection);
                            else
                                onConnectFailed(server, errorOf(outcome));
                            if (!server->isUsable())
                                server->closeIdleConnections();
                            dispatch();
                        });
}

void ServicePool::onConnected(const std::shared_ptr<BackendServer> &server,
                              const std::shared_ptr<ClientConnection> &connection)
{
    server->addConnection(connection);
    connection->onIdleClose([this, weak = std::weak_ptr(server), raw = connection.get()] {
        const auto owner = weak.lock();
        if (!owner)
            return;
        if (!raw->hasReceivedResponse())
            backOffConnects(owner);
        owner->removeConnection(raw);
    });
}

void ServicePool::onConnectFailed(const std::shared_ptr<BackendServer> &server, const Error &error)
{
    if (error.reason == "connect_reset") {
        backOffConnects(server);
        return;
    }
    server->score().record(SendResult::Unreachable, Duration::zero(), Duration::zero(),
                           Clock::now());
    logInfo("backend_unreachable",
            {{"service", m_service},
             {"backend", server->entry().id},
             {"reason", error.reason},
             {"detail", error.detail}});
}

void ServicePool::backOffConnects(const std::shared_ptr<BackendServer> &server)
{
    server->backOffConnects(Clock::now());
    m_context.metrics
        .counter("gwt_gateway_connects_held_total",
                 "Connections that a backend server at its limit did not take")
        .Increment();
    m_context.timers.at(server->connectBackoffUntil(), [this] { dispatch(); });
}

void ServicePool::send(const std::shared_ptr<BackendAttempt> &attempt, const Choice &choice,
                       TimePoint now)
{
    attempt->server = choice.server;
    attempt->connection = choice.connection;
    attempt->sentAt = now;
    m_context.timers.cancel(attempt->queueTimer);
    choice.server->beginAttempt(now);
    const auto left = std::chrono::duration_cast<Milliseconds>(attempt->deadline - now);
    auto accepts = [attempt, &names = m_context.headerNames](const WireResponse &response) {
        const auto id = response.find(names.requestId);
        return id == response.end() || id->value() == attempt->request->id();
    };
    choice.connection->exchange(
        attempt->request->serialize(left, choice.server->entry().id),
        attempt->request->isHeadRequest(), std::move(accepts),
        [this, attempt](Outcome<WireResponse> outcome) { onReply(attempt, std::move(outcome)); });
}

AttemptReply ServicePool::interpret(const BackendAttempt &attempt,
                                    Outcome<WireResponse> &outcome) const
{
    AttemptReply reply;
    reply.backendId = attempt.server->entry().id;
    if (!isOk(outcome)) {
        const Error &error = errorOf(outcome);
        reply.result = error.code == ErrorCode::Unavailable ? AttemptResult::NotSent
                                                            : AttemptResult::Unknown;
        reply.reason = error.reason;
        return reply;
    }
    WireResponse &response = valueOf(outcome);
    const bool isMisdirected = response.result() == http::status::misdirected_request;
    if (isMisdirected || response.count(m_context.headerNames.notRun) > 0) {
        reply.result = AttemptResult::NotRun;
        reply.reason = isMisdirected ? "misdirected" : "refused_by_backend";
    } else {
        reply.result = AttemptResult::Answered;
    }
    reply.response = std::move(response);
    return reply;
}

void ServicePool::onReply(const std::shared_ptr<BackendAttempt> &attempt,
                          Outcome<WireResponse> outcome)
{
    const TimePoint now = Clock::now();
    AttemptReply reply = interpret(*attempt, outcome);
    reply.elapsed = now - attempt->sentAt;
    BackendServer &server = *attempt->server;
    if (reply.response)
        server.resetConnectBackoff();
    const bool isServed = reply.result == AttemptResult::Answered
        && http::to_status_class(reply.response->result()) != http::status_class::server_error;
    SendResult result = isServed ? SendResult::Served : SendResult::Failed;
    if (reply.result == AttemptResult::NotRun)
        result = SendResult::Refused;
    reply.isAtConnectionLimit = reply.result == AttemptResult::Unknown
        && reply.reason == "connection_lost" && !attempt->connection->hasReceivedResponse();
    if (reply.isAtConnectionLimit)
        backOffConnects(attempt->server);
    if (reply.reason == "misdirected") {
        logInfo("backend_misdirected", {{"service", m_service}, {"backend", server.entry().id}});
        server.retire();
    }
    if (!reply.isAtConnectionLimit)
        server.score().record(result, reply.elapsed, attempt->typicalLatency, now);
    finish(attempt, std::move(reply));
}

void ServicePool::release(const std::shared_ptr<BackendAttempt> &attempt)
{
    m_context.timers.cancel(attempt->deadlineTimer);
    m_context.timers.cancel(attempt->queueTimer);
    attempt->isEnded = true;
    --m_openAttempts;
    if (!attempt->server) {
        m_queue.remove(attempt);
        return;
    }
    attempt->server->endAttempt(attempt->sentAt);
    if (attempt->connection && !attempt->connection->isOpen())
        attempt->server->removeConnection(attempt->connection.get());
    if (!attempt->server->isUsable())
        attempt->server->closeIdleConnections();
    attempt->connection.reset();
}

void ServicePool::finish(const std::shared_ptr<BackendAttempt> &attempt, AttemptReply reply)
{
    if (attempt->isEnded)
        return;
    release(attempt);
    const BackendAttempt::Handler handler = std::exchange(attempt->handler, nullptr);
    if (handler)
        handler(std::move(reply));
    dispatch();
}

void ServicePool::expire(const std::shared_ptr<BackendAttempt> &attempt)
{
    if (attempt->isEnded)
        return;
    AttemptReply reply;
    reply.reason = waitExpiredReason;
    if (attempt->server) {
        reply.result = AttemptResult::Unknown;
        reply.backendId = attempt->server->entry().id;
        reply.reason = "no_reply";
        const TimePoint now = Clock::now();
        reply.elapsed = now - attempt->sentAt;
        attempt->server->score().record(SendResult::Failed, reply.elapsed, attempt->typicalLatency,
                                        now);
        attempt->connection->close();
    }
    finish(attempt, std::move(reply));
}

void ServicePool::detach(const std::shared_ptr<BackendAttempt> &attempt)
{
    attempt->handler = nullptr;
    if (!attempt->isEnded && !attempt->server)
        release(attempt);
}

void ServicePool::cancel(const std::shared_ptr<BackendAttempt> &attempt)
{
    attempt->handler = nullptr;
    if (attempt->isEnded)
        return;
    if (attempt->connection)
        attempt->connection->close();
    release(attempt);
    dispatch();
}

} // namespace gwt
