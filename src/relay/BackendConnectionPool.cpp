#include "relay/BackendConnectionPool.h"

namespace gwt {

namespace {

constexpr std::chrono::seconds maxSearchIdleTime{20};

prometheus::Counter &waitCounter(Metrics &metrics, const std::string &reason)
{
    return metrics.counter("gwt_relay_connection_waits_total",
                           "Requests that had to wait for a connection", {{"reason", reason}});
}

} // namespace

BackendConnectionPool::BackendConnectionPool(Executor executor, Metrics &metrics,
                                             std::size_t maxIdle)
    : m_executor(std::move(executor))
    , m_maxIdle(maxIdle)
    , m_opened(metrics.counter("gwt_relay_connections_opened_total",
                               "Connections opened to backend servers"))
    , m_failed(metrics.counter("gwt_relay_connections_failed_total",
                               "Connections to backend servers that could not be opened"))
    , m_stale(metrics.counter("gwt_relay_connections_stale_total",
                              "Idle connections that the server had closed or sent more on"))
    , m_atLimit(waitCounter(metrics, "limit"))
    , m_atOpeningLimit(waitCounter(metrics, "pace"))
{ }

Task<Outcome<BackendConnectionPool::Connection>>
BackendConnectionPool::acquire(BackendTarget server, TimePoint deadline)
{
    co_return co_await acquireFresh(std::move(server), maxSearchIdleTime, deadline);
}

Task<Outcome<BackendConnectionPool::Connection>>
BackendConnectionPool::acquireFresh(BackendTarget server, Duration maxIdleTime, TimePoint deadline)
{
    while (true) {
        AcquireStep step = tryAcquire(server, maxIdleTime);
        if (step.connection)
            co_return std::move(step.connection);
        if (step.mayOpen)
            co_return co_await open(server.address, deadline);
        const bool isReady = co_await step.ready.waitUntil(deadline, false);
        if (!isReady)
            co_return Error{ErrorCode::NotRun, "no_connection", toString(server.address)};
    }
}

BackendConnectionPool::AcquireStep BackendConnectionPool::tryAcquire(const BackendTarget &target,
                                                                     Duration maxIdleTime)
{
    AcquireStep step;
    std::vector<Connection> discarded;
    {
        const std::lock_guard lock(m_mutex);
        Server &server = m_servers[target.address];
        server.limiter.setLimit(target.maxConnections);
        step.connection = server.idle.take(maxIdleTime, discarded);
        m_stale.Increment(static_cast<double>(discarded.size()));
        if (!step.connection) {
            const ConnectionLimiter::Decision decision = server.limiter.tryOpen();
            step.mayOpen = decision == ConnectionLimiter::Decision::Open;
            if (!step.mayOpen)
                server.waiters.push_back(step.ready);
            if (decision == ConnectionLimiter::Decision::AtOpeningLimit)
                m_atOpeningLimit.Increment();
            if (decision == ConnectionLimiter::Decision::AtLimit) {
                m_atLimit.Increment();
                // Idle connections are too old for this caller; closing the oldest makes room.
                const std::size_t idle = server.idle.size();
                server.idle.trim(maxSearchIdleTime, idle > 0 ? idle - 1 : 0, discarded);
            }
        }
    }
    closeAll(target.address, std::move(discarded));
    return step;
}

Task<Outcome<BackendConnectionPool::Connection>> BackendConnectionPool::open(Endpoint server,
                                                                             TimePoint deadline)
{
    auto connection = std::make_unique<HttpConnection>(asio::make_strand(m_executor), server);
    const Outcome<Done> connected = co_await connection->connect(deadline);
    {
        const std::lock_guard lock(m_mutex);
        Server &entry = m_servers[server];
        if (isOk(connected))
            entry.limiter.recordOpened();
        else
            entry.limiter.recordFailed();
        wakeNext(entry);
    }
    (isOk(connected) ? m_opened : m_failed).Increment();
    if (!isOk(connected))
        co_return errorOf(connected);
    co_return std::move(connection);
}

void BackendConnectionPool::release(const Endpoint &server, Connection connection, bool isTrusted)
{
    std::vector<Connection> discarded;
    if (!isTrusted || !connection->isReusable()) {
        discarded.push_back(std::move(connection));
    } else {
        const std::lock_guard lock(m_mutex);
        Server &entry = m_servers[server];
        entry.idle.add(std::move(connection));
        entry.idle.trim(maxSearchIdleTime, m_maxIdle, discarded);
        wakeNext(entry);
    }
    closeAll(server, std::move(discarded));
}

Task<void> BackendConnectionPool::close(Endpoint server, Connection connection)
{
    co_await connection->close(s_closeGrace);
    const std::lock_guard lock(m_mutex);
    Server &entry = m_servers[server];
    entry.limiter.recordClosed();
    wakeNext(entry);
}

void BackendConnectionPool::closeAll(const Endpoint &server, std::vector<Connection> connections)
{
    for (Connection &connection : connections)
        spawn(asio::make_strand(m_executor), close(server, std::move(connection)));
}

void BackendConnectionPool::wakeNext(Server &server)
{
    while (!server.waiters.empty()) {
        const OneShot<bool> next = server.waiters.front();
        server.waiters.pop_front();
        if (next.set(true))
            return;
    }
}

void BackendConnectionPool::trim()
{
    std::map<Endpoint, std::vector<Connection>> discarded;
    {
        const std::lock_guard lock(m_mutex);
        for (auto &[address, server] : m_servers) {
            std::vector<Connection> old;
            server.idle.trim(maxSearchIdleTime, m_maxIdle, old);
            if (!old.empty())
                discarded.emplace(address, std::move(old));
        }
    }
    for (auto &[address, connections] : discarded)
        closeAll(address, std::move(connections));
}

int BackendConnectionPool::count(const Endpoint &server) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_servers.find(server);
    return found == m_servers.end() ? 0 : found->second.limiter.count();
}

} // namespace gwt
