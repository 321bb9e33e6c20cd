#pragma once

#include "gateway/backends/BackendServer.h"
#include "gateway/backends/PoolContext.h"

#include <functional>
#include <memory>
#include <string>

namespace gwt {

/// \brief Opens the connections to the backend servers of one service.
class ServerConnector
{
public:
    /// \brief \a onChange is called when a server has a new connection, or may be tried again.
    ServerConnector(PoolContext &context, const std::string &service,
                    std::function<void()> onChange);

    /// \brief Opens a connection to \a server; one that has \a maxConnections loses its least
    /// recently used idle connection first, and gets no new one if all are in use.
    void open(const std::shared_ptr<BackendServer> &server, int maxConnections);
    /// \brief Holds off new connections to \a server, which is at its connection limit.
    void backOff(BackendServer &server);

private:
    void onConnected(const std::shared_ptr<BackendServer> &server,
                     const std::shared_ptr<ClientConnection> &connection);
    /// \brief Adds \a connection once the server has had time to close it, unless it has.
    void addIfAccepted(const std::shared_ptr<BackendServer> &server,
                       const std::shared_ptr<ClientConnection> &connection);
    void add(const std::shared_ptr<BackendServer> &server,
             const std::shared_ptr<ClientConnection> &connection);
    void onFailed(BackendServer &server, const Error &error);

    PoolContext &m_context;
    const std::string &m_service;
    const std::function<void()> m_onChange;
};

} // namespace gwt
