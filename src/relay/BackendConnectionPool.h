#pragma once

#include "common/Metrics.h"
#include "common/OneShot.h"
#include "http/IdleConnections.h"
#include "relay/BackendTarget.h"
#include "relay/ConnectionLimiter.h"

#include <deque>
#include <map>
#include <memory>
#include <mutex>

namespace gwt {

/// \brief Pools keep-alive connections to backend servers, within each server's limit.
/// Thread-safe.
///
/// A caller waits while there is no idle connection and none may be opened.
class BackendConnectionPool
{
public:
    using Connection = std::unique_ptr<HttpConnection>;

    /// \brief How long a closed connection counts towards the limit if the server does not close it
    /// too: until then the server may still be working on its request.
    static constexpr Milliseconds s_closeGrace{250};

    /// \brief Keeps up to \a maxIdle idle connections for each server.
    BackendConnectionPool(Executor executor, Metrics &metrics, std::size_t maxIdle);

    /// \brief Returns an idle connection or a new one; the caller passes it to release() or
    /// close().
    ///
    /// Errors, all proving that nothing was sent: Unavailable "connect_failed", NotRun
    /// "no_connection".
    Task<Outcome<Connection>> acquire(BackendTarget server, TimePoint deadline);
    /// \brief As acquire(), but returns only a new connection or one used at most \a maxIdleTime
    /// ago, for requests that must not be sent on a connection that the server is about to close.
    Task<Outcome<Connection>> acquireFresh(BackendTarget server, Duration maxIdleTime,
                                           TimePoint deadline);
    /// \brief Returns \a connection to the pool if it is reusable and \a isTrusted, else closes it.
    void release(const Endpoint &server, Connection connection, bool isTrusted);
    /// \brief Closes \a connection, whose request was abandoned, and waits at most s_closeGrace
    /// until the server closes it too.
    Task<void> close(Endpoint server, Connection connection);
    /// \brief Closes connections that have been idle for too long; called periodically.
    void trim();
    /// \brief Number of connections to \a server that count towards its limit.
    int count(const Endpoint &server) const;

private:
    struct Server
    {
        ConnectionLimiter limiter;
        IdleConnections idle;
        std::deque<OneShot<bool>> waiters;
    };

    /// \brief Result of one try: a connection, permission to open one, or neither.
    struct AcquireStep
    {
        Connection connection;
        bool mayOpen = false;
        OneShot<bool> ready; ///< set when the caller should try again
    };

    AcquireStep tryAcquire(const BackendTarget &server, Duration maxIdleTime);
    Task<Outcome<Connection>> open(Endpoint server, TimePoint deadline);
    void closeAll(const Endpoint &server, std::vector<Connection> connections);
    static void wakeNext(Server &server);

    Executor m_executor;
    const std::size_t m_maxIdle;
    prometheus::Counter &m_opened;
    prometheus::Counter &m_failed;
    prometheus::Counter &m_stale;
    prometheus::Counter &m_atLimit;
    prometheus::Counter &m_atOpeningLimit;
    mutable std::mutex m_mutex; ///< a leaf in the lock order, except for OneShots
    std::map<Endpoint, Server> m_servers;
};

} // namespace gwt
