#include "gateway/backends/BackendServer.h"

#include <algorithm>

namespace gwt {

namespace {

/// A request that is sent this shortly before the server's idle time-out may cross its close.
constexpr Milliseconds closeMargin{100};
/// A server at its limit of connections has room again when one of them ends. After a loss of
/// power it holds those of the lost processes until its idle time-out.
constexpr Milliseconds firstConnectHold{40};
constexpr Milliseconds longestConnectHold{320};

} // namespace

std::shared_ptr<ClientConnection> BackendServer::idleConnection(TimePoint now, Duration maxIdle)
{
    std::shared_ptr<ClientConnection> newest;
    std::vector<std::shared_ptr<ClientConnection>> expired;
    for (const auto &connection : m_connections) {
        if (!connection->isIdle())
            continue;
        if (connection->keepAliveExpiry() < now + closeMargin)
            expired.push_back(connection);
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

void BackendServer::closeIdle()
{
    std::erase_if(m_connections, [](const auto &connection) {
        if (!connection->isIdle())
            return false;
        connection->close();
        return true;
    });
}

void BackendServer::holdConnects(TimePoint now)
{
    m_connectHold = std::clamp<Duration>(m_connectHold * 2, firstConnectHold, longestConnectHold);
    m_connectsHeldUntil = now + m_connectHold;
}

void BackendServer::endLeg(TimePoint sentAt)
{
    const auto leg = m_sentTimes.find(sentAt);
    if (leg != m_sentTimes.end())
        m_sentTimes.erase(leg);
}

Duration BackendServer::oldestLeg(TimePoint now) const
{
    return m_sentTimes.empty() ? Duration::zero() : now - *m_sentTimes.begin();
}

} // namespace gwt
