#include "http/IdleConnections.h"

namespace gwt {

IdleConnections::Connection IdleConnections::take(Duration maxIdleTime,
                                                  std::vector<Connection> &discarded)
{
    const TimePoint oldest = Clock::now() - maxIdleTime;
    while (!m_connections.empty()) {
        if (m_connections.back()->lastUsed() < oldest)
            return nullptr;
        Connection connection = std::move(m_connections.back());
        m_connections.pop_back();
        if (connection->isReusable())
            return connection;
        discarded.push_back(std::move(connection));
    }
    return nullptr;
}

void IdleConnections::trim(Duration maxIdleTime, std::size_t maxCount,
                           std::vector<Connection> &discarded)
{
    const TimePoint oldest = Clock::now() - maxIdleTime;
    auto firstRetained = m_connections.begin();
    while (
        firstRetained != m_connections.end()
        && (m_connections.size() - static_cast<std::size_t>(firstRetained - m_connections.begin())
                > maxCount
            || (*firstRetained)->lastUsed() < oldest))
        ++firstRetained;
    std::move(m_connections.begin(), firstRetained, std::back_inserter(discarded));
    m_connections.erase(m_connections.begin(), firstRetained);
}

} // namespace gwt
