#include "gateway/backends/ServicePool.h"

#include "common/Log.h"
#include "gateway/policy/QueueWait.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace gwt {

namespace {

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
    , m_connector(context, m_service, [this] { dispatch(); })
{ }

void ServicePool::setConnectionShare(int connections)
{
    m_connectionShare = connections;
    for (const auto &[id, server] : m_servers)
        server->closeIdleConnectionsAbove(connections);
    // Queued attempts may be waiting for a connection beyond the former share.
    boost::asio::post(m_context.ioContext, [this] { dispatch(); });
}

void ServicePool::setServer(const BackendEntry &entry)
{
    std::shared_ptr<BackendServer> &server = m_servers[entry.id];
    const bool isSame = server && server->entry().address == entry.address
        && server->entry().incarnation == entry.incarnation;
    if (isSame) {
        server->setEntry(entry);
    } else {
        if (server)
            removeInstance(*server);
        server = std::make_shared<BackendServer>(entry);
        m_context.holds.restore(*server);
    }
    updateEvacuation(*server);
    if (entry.isDraining)
        server->closeIdleConnections();
    dispatch();
}

void ServicePool::updateEvacuation(BackendServer &server)
{
    server.setEvacuated(m_context.evacuatedZones.contains(server.entry().availabilityZone));
    if (server.isEvacuated())
        server.closeIdleConnections();
}

void ServicePool::updateEvacuations()
{
    for (const auto &[id, server] : m_servers)
        updateEvacuation(*server);
    // Queued attempts may have no server left. A handler may create a pool while the pools are
    // iterated, so it must not run now.
    boost::asio::post(m_context.ioContext, [this] { dispatch(); });
}

void ServicePool::removeServer(const std::string &id)
{
    const auto server = m_servers.find(id);
    if (server == m_servers.end())
        return;
    removeInstance(*server->second);
    m_servers.erase(server);
    dispatch();
}

void ServicePool::removeInstance(BackendServer &server)
{
    const TimePoint now = Clock::now();
    const HoldReason reason = server.hold().reason(now);
    if (reason != HoldReason::None)
        m_context.holds.logEnd(m_service, server, reason, "gone", now);
    m_context.holds.retain(server, now);
    server.retire();
    server.closeIdleConnections();
}

bool ServicePool::isCandidate(const BackendServer &server, const std::vector<std::string> &excluded,
                              TimePoint now) const
{
    return server.acceptsWork(now)
        && std::find(excluded.begin(), excluded.end(), server.entry().id) == excluded.end();
}

bool ServicePool::hasServer(TimePoint now, const std::vector<std::string> &excluded) const
{
    return std::any_of(m_servers.begin(), m_servers.end(),
                       [&](const auto &each) { return isCandidate(*each.second, excluded, now); });
}

std::optional<TimePoint> ServicePool::nextHoldEnd(TimePoint now) const
{
    std::optional<TimePoint> next;
    for (const auto &[id, server] : m_servers) {
        if (server->acceptsWork(now))
            return std::nullopt;
        const TimePoint end = server->hold().until();
        if (server->isUsable() && end > now)
            next = std::min(next.value_or(end), end);
    }
    return next;
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
        const bool needsConnection = choice.server
            && ++neededConnections[choice.server.get()] > choice.server->pendingConnects();
        if (needsConnection && mayConnect(*choice.server, now))
            m_connector.open(choice.server, m_connectionShare);
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
        if (!isCandidate(*server, attempt, now)
            || !server->hold().mayReceive(server->inFlight(), now))
            continue;
        const bool mayHaveCarried = attempt.isIdempotent || !server->hasAnonymousRefusals();
        auto connection = server->idleConnection(now, maxIdle, mayHaveCarried);
        if (!connection && server->pendingConnects() == 0 && !mayConnect(*server, now))
            continue;
        Duration cost = m_context.picker.expected(loadOf(*server, now), attempt.typicalLatency,
                                                  attempt.cost, now);
        if (!connection)
            cost += connectCost;
        if (cost < bestCost) {
            bestCost = cost;
            best = {server, std::move(connection)};
        }
    }
    return best;
}

ServerLoad ServicePool::loadOf(const BackendServer &server, TimePoint now) const
{
    const bool isOtherZone = server.entry().availabilityZone != m_context.availabilityZone;
    return {server.score(),
            server.work(),
            server.inFlight(),
            server.entry().slots,
            server.oldestAttemptAge(now),
            isOtherZone};
}

bool ServicePool::mayConnect(const BackendServer &server, TimePoint now) const
{
    return now >= server.connectBackoffUntil()
        && (server.connections() < m_connectionShare || server.hasIdleConnection());
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

void ServicePool::send(const std::shared_ptr<BackendAttempt> &attempt, const Choice &choice,
                       TimePoint now)
{
    attempt->server = choice.server;
    attempt->connection = choice.connection;
    attempt->isFirstOnConnection = !choice.connection->hasReceivedResponse();
    attempt->sentAt = now;
    m_context.timers.cancel(attempt->queueTimer);
    choice.server->beginAttempt(now);
    if (m_context.costs && attempt->costKind) {
        choice.server->work().begin(attempt->number, attempt->cost, choice.server->entry().slots,
                                    now);
    }
    const auto left = std::chrono::duration_cast<Milliseconds>(attempt->deadline - now);
    auto onHead
        = [this, attempt](const WireResponse &head) { return onResponseHead(attempt, head); };
    choice.connection->exchange(
        attempt->request->serialize(left, choice.server->entry().id),
        attempt->request->isHeadRequest(), std::move(onHead),
        [this, attempt](Outcome<WireResponse> outcome) { onReply(attempt, std::move(outcome)); });
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
    if (m_context.costs)
        attempt->server->work().end(attempt->number, Clock::now());
    if (attempt->connection && !attempt->connection->isOpen())
        attempt->server->removeConnection(attempt->connection.get());
    if (!attempt->server->isUsable())
        attempt->server->closeIdleConnections();
    attempt->server->closeIdleConnectionsAbove(m_connectionShare);
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
    if (attempt->server)
        attempt->request = attempt->request->withoutMessage(); // the account has released it
    else if (!attempt->isEnded)
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
