#include "gateway/backends/ServicePool.h"

#include "common/Log.h"
#include "gateway/policy/QueueWait.h"

#include <algorithm>

namespace gwt {

namespace http = boost::beast::http;

namespace {

constexpr std::size_t maxReplyBytes = 8U << 20U;
/// Round trip, handshake and the server's accept; beyond it the server counts as unreachable.
constexpr Milliseconds connectTimeout{300};
/// Added to the cost of a server that needs a new connection first: the handshake takes a slot.
constexpr Milliseconds connectCost{8};
/// A reply that is this late is no longer waited for: the server stops at its deadline.
constexpr Milliseconds replyGrace{40};
/// A request that may run once is not sent on a connection idle for longer: the server may be
/// closing it.
constexpr Milliseconds maxIdleOnce{500};

} // namespace

ServicePool::ServicePool(PoolContext &context, std::string service, RepeatBudgetRules budget)
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
            server->closeIdle();
        }
        server = std::make_shared<BackendServer>(entry);
    }
    if (entry.isDraining)
        server->closeIdle();
    dispatch();
}

void ServicePool::removeServer(const std::string &id)
{
    const auto server = m_servers.find(id);
    if (server == m_servers.end())
        return;
    server->second->retire();
    server->second->closeIdle();
    m_servers.erase(server);
    dispatch();
}

bool ServicePool::isCandidate(const BackendServer &server, const std::vector<std::string> &avoid,
                              TimePoint now) const
{
    return server.isUsable() && !server.score().isPaused(now)
        && std::find(avoid.begin(), avoid.end(), server.entry().id) == avoid.end();
}

bool ServicePool::hasServer(TimePoint now, const std::vector<std::string> &avoid) const
{
    return std::any_of(m_servers.begin(), m_servers.end(),
                       [&](const auto &each) { return isCandidate(*each.second, avoid, now); });
}

bool ServicePool::isCandidate(const BackendServer &server, const Leg &leg, TimePoint now) const
{
    return (leg.only.empty() || leg.only == server.entry().id)
        && isCandidate(server, leg.avoid, now);
}

bool ServicePool::hasCandidate(const Leg &leg, TimePoint now) const
{
    return std::any_of(m_servers.begin(), m_servers.end(),
                       [&](const auto &each) { return isCandidate(*each.second, leg, now); });
}

void ServicePool::submit(const std::shared_ptr<Leg> &leg)
{
    leg->number = ++m_lastNumber;
    ++m_openLegs;
    leg->expiry = m_context.timers.at(leg->deadline + replyGrace, [this, leg] { expire(leg); });
    enqueue(leg);
    dispatch();
    if (!leg->server && !leg->isEnded)
        boundWait(leg);
}

void ServicePool::boundWait(const std::shared_ptr<Leg> &leg)
{
    const TimePoint now = Clock::now();
    QueueAhead ahead;
    for (const std::shared_ptr<Leg> &waiting : m_queue) {
        if (waiting == leg)
            break;
        ++ahead.legs;
    }
    for (const auto &[id, server] : m_servers) {
        if (!isCandidate(*server, *leg, now))
            continue;
        ahead.connections += m_connectionShare;
        ahead.inFlight += server->inFlight();
    }
    const TimePoint latest = leg->deadline - leg->usual; // sent later it is answered too late
    if (now + expectedWait(ahead, leg->usual) > latest) {
        LegReply reply;
        reply.reason = queueTooLong;
        end(leg, std::move(reply));
        return;
    }
    leg->waitExpiry = m_context.timers.at(latest, [this, leg] {
        if (!leg->server)
            expire(leg);
    });
}

void ServicePool::enqueue(const std::shared_ptr<Leg> &leg)
{
    const auto position = std::find_if(m_queue.begin(), m_queue.end(),
                                       [&](const auto &other) { return other->rank > leg->rank; });
    m_queue.insert(position, leg);
}

void ServicePool::dispatch()
{
    if (m_isDispatching || m_queue.empty())
        return;
    m_isDispatching = true;
    const TimePoint now = Clock::now();
    std::map<BackendServer *, int> wanted; ///< connections that waiting legs need
    std::vector<std::shared_ptr<Leg>> unserved;
    for (auto it = m_queue.begin(); it != m_queue.end();) {
        const std::shared_ptr<Leg> leg = *it;
        if (!hasCandidate(*leg, now)) {
            it = m_queue.erase(it);
            unserved.push_back(leg);
            continue;
        }
        const Choice choice = choose(*leg, now);
        if (choice.connection) {
            it = m_queue.erase(it);
            send(leg, choice, now);
            continue;
        }
        if (choice.server && ++wanted[choice.server.get()] > choice.server->connecting())
            openConnection(choice.server);
        ++it;
    }
    m_isDispatching = false;
    for (const std::shared_ptr<Leg> &leg : unserved) {
        LegReply reply;
        reply.reason = "no_server";
        end(leg, std::move(reply));
    }
}

ServicePool::Choice ServicePool::choose(const Leg &leg, TimePoint now)
{
    Choice best;
    Duration bestCost = Duration::max();
    const Duration maxIdle = leg.isIdempotent ? Duration::max() : Duration(maxIdleOnce);
    for (const auto &[id, server] : m_servers) {
        if (!isCandidate(*server, leg, now))
            continue;
        auto connection = server->idleConnection(now, maxIdle);
        const bool mayOpen = server->connecting() > 0
            || (server->connections() < m_connectionShare && now >= server->connectsHeldUntil());
        if (!connection && !mayOpen)
            continue;
        Duration cost = expectedLatency(*server, leg.usual, now);
        if (!connection)
            cost += connectCost;
        if (cost < bestCost) {
            bestCost = cost;
            best = {server, std::move(connection)};
        }
    }
    return best;
}

Duration ServicePool::expectedLatency(const BackendServer &server, Duration usual,
                                      TimePoint now) const
{
    const bool isOtherZone = server.entry().availabilityZone != m_context.availabilityZone;
    return server.score().expected(usual, server.inFlight(), server.entry().slots,
                                   server.oldestLeg(now), isOtherZone, now);
}

Duration ServicePool::expectedLatency(Duration usual, const std::vector<std::string> &avoid,
                                      TimePoint now) const
{
    Duration least = Duration::max();
    for (const auto &[id, server] : m_servers) {
        if (isCandidate(*server, avoid, now))
            least = std::min(least, expectedLatency(*server, usual, now));
    }
    return least;
}

void ServicePool::openConnection(const std::shared_ptr<BackendServer> &server)
{
    if (server->connections() >= m_connectionShare)
        return;
    server->beginConnect();
    auto connection = std::make_shared<ClientConnection>(
        m_context.context, m_context.timers, maxReplyBytes, ClientConnection::Probing::Off);
    connection->connect(server->entry().address, connectTimeout,
                        [this, server, connection](const Outcome<Done> &outcome) {
                            server->endConnect();
                            if (isOk(outcome))
                                onConnected(server, connection);
                            else
                                onConnectFailed(server, errorOf(outcome));
                            if (!server->isUsable())
                                server->closeIdle();
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
            holdConnects(owner);
        owner->removeConnection(raw);
    });
}

void ServicePool::onConnectFailed(const std::shared_ptr<BackendServer> &server, const Error &error)
{
    if (error.reason == "connect_reset") {
        holdConnects(server);
        return;
    }
    server->score().note(SendResult::Unreachable, Duration::zero(), Duration::zero(), Clock::now());
    logInfo("backend_unreachable",
            {{"service", m_service},
             {"backend", server->entry().id},
             {"reason", error.reason},
             {"detail", error.detail}});
}

void ServicePool::holdConnects(const std::shared_ptr<BackendServer> &server)
{
    server->holdConnects(Clock::now());
    m_context.metrics
        .counter("gwt_gateway_connects_held_total",
                 "Connections that a backend server at its limit did not take")
        .Increment();
    m_context.timers.at(server->connectsHeldUntil(), [this] { dispatch(); });
}

void ServicePool::send(const std::shared_ptr<Leg> &leg, const Choice &choice, TimePoint now)
{
    leg->server = choice.server;
    leg->connection = choice.connection;
    leg->sentAt = now;
    m_context.timers.cancel(leg->waitExpiry);
    choice.server->beginLeg(now);
    const auto left = std::chrono::duration_cast<Milliseconds>(leg->deadline - now);
    auto accepts = [leg, &names = m_context.names](const WireResponse &response) {
        const auto id = response.find(names.requestId);
        return id == response.end() || id->value() == leg->request->id();
    };
    choice.connection->exchange(
        leg->request->message(left, choice.server->entry().id), leg->request->isHead(),
        std::move(accepts),
        [this, leg](Outcome<WireResponse> outcome) { onReply(leg, std::move(outcome)); });
}

LegReply ServicePool::interpret(const Leg &leg, Outcome<WireResponse> &outcome) const
{
    LegReply reply;
    reply.backendId = leg.server->entry().id;
    if (!isOk(outcome)) {
        const Error &error = errorOf(outcome);
        reply.result
            = error.code == ErrorCode::Unavailable ? LegResult::NotSent : LegResult::Unknown;
        reply.reason = error.reason;
        return reply;
    }
    WireResponse &response = valueOf(outcome);
    const bool isMisdirected = response.result() == http::status::misdirected_request;
    if (isMisdirected || response.count(m_context.names.notRun) > 0) {
        reply.result = LegResult::NotRun;
        reply.reason = isMisdirected ? "misdirected" : "refused_by_backend";
    } else {
        reply.result = LegResult::Answered;
    }
    reply.response = std::move(response);
    return reply;
}

void ServicePool::onReply(const std::shared_ptr<Leg> &leg, Outcome<WireResponse> outcome)
{
    const TimePoint now = Clock::now();
    LegReply reply = interpret(*leg, outcome);
    reply.elapsed = now - leg->sentAt;
    BackendServer &server = *leg->server;
    if (reply.response)
        server.releaseConnects();
    const bool isServed = reply.result == LegResult::Answered
        && http::to_status_class(reply.response->result()) != http::status_class::server_error;
    SendResult result = isServed ? SendResult::Served : SendResult::Failed;
    if (reply.result == LegResult::NotRun)
        result = SendResult::Refused;
    reply.isOverLimit = reply.result == LegResult::Unknown && reply.reason == "connection_lost"
        && !leg->connection->hasReceivedResponse();
    if (reply.isOverLimit)
        holdConnects(leg->server);
    if (reply.reason == "misdirected") {
        logInfo("backend_misdirected", {{"service", m_service}, {"backend", server.entry().id}});
        server.retire();
    }
    if (!reply.isOverLimit)
        server.score().note(result, reply.elapsed, leg->usual, now);
    end(leg, std::move(reply));
}

void ServicePool::release(const std::shared_ptr<Leg> &leg)
{
    m_context.timers.cancel(leg->expiry);
    m_context.timers.cancel(leg->waitExpiry);
    leg->isEnded = true;
    --m_openLegs;
    if (!leg->server) {
        m_queue.remove(leg);
        return;
    }
    leg->server->endLeg(leg->sentAt);
    if (leg->connection && !leg->connection->isOpen())
        leg->server->removeConnection(leg->connection.get());
    if (!leg->server->isUsable())
        leg->server->closeIdle();
    leg->connection.reset();
}

void ServicePool::end(const std::shared_ptr<Leg> &leg, LegReply reply)
{
    if (leg->isEnded)
        return;
    release(leg);
    const Leg::Handler handler = std::exchange(leg->handler, nullptr);
    if (handler)
        handler(std::move(reply));
    dispatch();
}

void ServicePool::expire(const std::shared_ptr<Leg> &leg)
{
    if (leg->isEnded)
        return;
    LegReply reply;
    reply.reason = waitExpired;
    if (leg->server) {
        reply.result = LegResult::Unknown;
        reply.backendId = leg->server->entry().id;
        reply.reason = "no_reply";
        const TimePoint now = Clock::now();
        reply.elapsed = now - leg->sentAt;
        leg->server->score().note(SendResult::Failed, reply.elapsed, leg->usual, now);
        leg->connection->close();
    }
    end(leg, std::move(reply));
}

void ServicePool::detach(const std::shared_ptr<Leg> &leg)
{
    leg->handler = nullptr;
    if (!leg->isEnded && !leg->server)
        release(leg);
}

void ServicePool::cancel(const std::shared_ptr<Leg> &leg)
{
    leg->handler = nullptr;
    if (leg->isEnded)
        return;
    if (leg->connection)
        leg->connection->close();
    release(leg);
    dispatch();
}

} // namespace gwt
