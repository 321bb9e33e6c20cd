#pragma once

#include "gateway/backends/BackendEntry.h"
#include "gateway/backends/BackendScore.h"
#include "http/ClientConnection.h"

#include <memory>
#include <set>
#include <vector>

namespace gwt {

/// \brief One backend server: its connections, what is out at it, and its health.
class BackendServer
{
public:
    explicit BackendServer(BackendEntry entry)
        : m_entry(std::move(entry))
    { }

    const BackendEntry &entry() const { return m_entry; }
    void setEntry(const BackendEntry &entry) { m_entry = entry; }
    /// \brief Takes no new work: it leaves, has left, or its address belongs to another one.
    void retire() { m_isRetired = true; }
    bool isUsable() const { return !m_isRetired && !m_entry.isDraining; }

    BackendScore &score() { return m_score; }
    const BackendScore &score() const { return m_score; }

    /// \brief An idle connection that the server still keeps; the one used last goes first.
    ///
    /// \a maxIdle bounds how long it has been idle. Connections past their time are closed.
    std::shared_ptr<ClientConnection> idleConnection(TimePoint now, Duration maxIdle);
    void addConnection(std::shared_ptr<ClientConnection> connection);
    void removeConnection(const ClientConnection *connection);
    /// \brief Closes the connections that carry no request.
    void closeIdle();
    int connections() const { return static_cast<int>(m_connections.size()) + m_connecting; }
    int connecting() const { return m_connecting; }
    void beginConnect() { ++m_connecting; }
    void endConnect() { --m_connecting; }

    /// \brief The server takes no further connection: none is opened for a while, longer each time.
    void holdConnects(TimePoint now);
    /// \brief A new connection was good.
    void releaseConnects() { m_connectHold = Duration::zero(); }
    TimePoint connectsHeldUntil() const { return m_connectsHeldUntil; }

    void beginLeg(TimePoint now) { m_sentTimes.insert(now); }
    void endLeg(TimePoint sentAt);
    int inFlight() const { return static_cast<int>(m_sentTimes.size()); }
    /// \brief For how long the oldest leg has been out; zero without one.
    Duration oldestLeg(TimePoint now) const;

private:
    BackendEntry m_entry;
    BackendScore m_score;
    std::vector<std::shared_ptr<ClientConnection>> m_connections;
    std::multiset<TimePoint> m_sentTimes;
    int m_connecting = 0;
    TimePoint m_connectsHeldUntil;
    Duration m_connectHold{0};
    bool m_isRetired = false;
};

} // namespace gwt
