#include "gateway/backends/BackendServer.h"

#include <algorithm>
#include <iterator>

namespace gwt {

namespace {

/// A request sent this shortly before the server's idle timeout may race with the close.
constexpr Milliseconds closeMargin{100};
/// Backoff for a server at its connection limit, which has room again when a connection ends. After
/// a power loss it holds the connections of the lost processes until its idle timeout.
constexpr Milliseconds minConnectBackoff{40};
constexpr Milliseconds maxConnectBackoff{320};
/// From the end of a backoff until the server counts as having room again.
constexpr Milliseconds connectionLimitMemory{1000};

} // namespace

std::shared_ptr<ClientConnection> BackendServer::idleConnection(TimePoint now, Duration maxIdle,
                                                                bool mayHaveCarried)
{
    std::shared_ptr<ClientConnection> newest;
    std::vector<std::shared_ptr<ClientConnection>> expired;
    for (const auto &connection : m_connections) {
        if (!connection->isIdle())
            continue;
        if (connection->keepAliveExpiry() < now + closeMargin)
            expired.push_back(connection);
        else if (!mayHaveCarried && connection->hasReceivedResponse())
            continue;
        else if (!newest || connection->lastUsed() > newest->lastUsed())
            newest = connection;
    }
    for (const auto &connection : expired) {
        connection->close();
        removeConnection(connection.get());
    }
    return newest && now - newest->lastUsed() <= maxIdle ? newest : nullptr;
}

void BackendServer::addConnection(std::shared_ptr<ClientConnection> connection)
{
    m_connections.push_back(std::move(connection));
}

void BackendServer::removeConnection(const ClientConnection *connection)
{
    std::erase_if(m_connections, [&](const auto &each) { return each.get() == connection; });
}

void BackendServer::closeIdleConnections()
{
    std::erase_if(m_connections, [](const auto &connection) {
        if (!connection->isIdle())
            return false;
        connection->close();
        return true;
    });
}

bool BackendServer::hasIdleConnection() const
{
    return std::any_of(m_connections.begin(), m_connections.end(),
                       [](const auto &connection) { return connection->isIdle(); });
}

void BackendServer::closeIdleConnectionsAbove(int limit)
{
    if (connections() <= limit)
        return;
    std::vector<std::shared_ptr<ClientConnection>> idle;
    std::copy_if(m_connections.begin(), m_connections.end(), std::back_inserter(idle),
                 [](const auto &connection) { return connection->isIdle(); });
    std::sort(idle.begin(), idle.end(), [](const auto &left, const auto &right) {
        return left->lastUsed() < right->lastUsed();
    });
    for (const auto &connection : idle) {
        if (connections() <= limit)
            return;
        connection->close();
        removeConnection(connection.get());
    }
}

void BackendServer::backOffConnects(TimePoint now)
{
    m_connectBackoff
        = std::clamp<Duration>(m_connectBackoff * 2, minConnectBackoff, maxConnectBackoff);
    m_connectBackoffUntil = now + m_connectBackoff;
}

bool BackendServer::wasAtConnectionLimit(TimePoint now) const
{
    return m_connectBackoffUntil != TimePoint()
        && now < m_connectBackoffUntil + connectionLimitMemory;
}

void BackendServer::endAttempt(TimePoint sentAt)
{
    const auto attempt = m_sentTimes.find(sentAt);
    if (attempt != m_sentTimes.end())
        m_sentTimes.erase(attempt);
}

Duration BackendServer::oldestAttemptAge(TimePoint now) const
{
    return m_sentTimes.empty() ? Duration::zero() : now - *m_sentTimes.begin();
}

} // namespace gwt
