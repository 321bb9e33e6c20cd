#pragma once

#include "http/HttpConnection.h"

#include <vector>

namespace gwt {

/// \brief The idle keep-alive connections to one server. Not thread-safe.
class IdleConnections
{
public:
    using Connection = std::unique_ptr<HttpConnection>;

    /// \brief Removes and returns the most recently used connection that has been idle for at most
    /// \a maxIdleTime; null if there is none. Moves connections that aren't reusable to
    /// \a discarded.
    Connection take(Duration maxIdleTime, std::vector<Connection> &discarded);
    void add(Connection connection) { m_connections.push_back(std::move(connection)); }
    /// \brief Moves connections idle for longer than \a maxIdleTime to \a discarded, and then the
    /// least recently used ones until at most \a maxCount are left.
    void trim(Duration maxIdleTime, std::size_t maxCount, std::vector<Connection> &discarded);
    std::size_t size() const { return m_connections.size(); }

private:
    std::vector<Connection> m_connections; ///< most recently used last
};

} // namespace gwt
