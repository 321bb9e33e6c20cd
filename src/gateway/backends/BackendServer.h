#pragma once

#include "gateway/backends/BackendEntry.h"
#include "gateway/backends/BackendHold.h"
#include "gateway/backends/BackendScore.h"
#include "gateway/backends/ServerWork.h"
#include "http/ClientConnection.h"

#include <memory>
#include <set>
#include <vector>

namespace gwt {

/// \brief One backend server with its connections, its requests in flight and its health.
class BackendServer
{
public:
    explicit BackendServer(BackendEntry entry)
        : m_entry(std::move(entry))
    { }

    const BackendEntry &entry() const { return m_entry; }
    void setEntry(const BackendEntry &entry) { m_entry = entry; }
    /// \brief Stops new work: the server is leaving or gone, or its address belongs to another one.
    void retire() { m_isRetired = true; }
    /// \brief Whether nothing may be sent to the server because its availability zone is evacuated.
    void setEvacuated(bool isEvacuated) { m_isEvacuated = isEvacuated; }
    bool isEvacuated() const { return m_isEvacuated; }
    bool isUsable() const
    {
        return !m_isRetired && !m_isEvacuated && !m_entry.isDraining && !m_hold.isLeaving();
    }

    /// \brief True if requests may be sent at \a now, unless too many others are in flight.
    bool acceptsWork(TimePoint now) const
    {
        return isUsable() && !m_hold.isActive(now) && !m_score.isInBackoff(now);
    }

    BackendScore &score() { return m_score; }
    const BackendScore &score() const { return m_score; }
    BackendHold &hold() { return m_hold; }
    const BackendHold &hold() const { return m_hold; }
    /// \brief Maintained only where costs are learned.
    ServerWork &work() { return m_work; }
    const ServerWork &work() const { return m_work; }

    /// \brief Returns the most recently used idle connection, or null.
    ///
    /// It has been idle for at most \a maxIdle; unless \a mayHaveCarried, it has carried no request
    /// yet. Connections past the server's idle timeout are closed.
    std::shared_ptr<ClientConnection> idleConnection(TimePoint now, Duration maxIdle,
                                                     bool mayHaveCarried);
    void addConnection(std::shared_ptr<ClientConnection> connection);
    void removeConnection(const ClientConnection *connection);
    /// \brief Closes the connections that carry no request.
    void closeIdleConnections();
    /// \brief Closes idle connections, the least recently used first, until \a limit connections
    /// are left or none is idle.
    void closeIdleConnectionsAbove(int limit);
    bool hasIdleConnection() const;
    int connections() const { return static_cast<int>(m_connections.size()) + m_pendingConnects; }
    int pendingConnects() const { return m_pendingConnects; }
    void beginConnect() { ++m_pendingConnects; }
    void endConnect() { --m_pendingConnects; }

    /// \brief Holds off new connections, longer each time: the server is at its connection limit.
    void backOffConnects(TimePoint now);
    /// \brief Resets the backoff of backOffConnects() after a reply.
    void resetConnectBackoff() { m_connectBackoff = Duration::zero(); }
    /// \brief True if the server has closed new connections lately.
    bool wasAtConnectionLimit(TimePoint now) const;
    TimePoint connectBackoffUntil() const { return m_connectBackoffUntil; }

    /// \brief Records a response that carried the id of its request.
    void recordEchoedId() { m_echoesIds = true; }
    /// \brief True if some response of this server has carried the id of its request.
    bool echoesIds() const { return m_echoesIds; }
    /// \brief Records a refusal that carried no id.
    void recordAnonymousRefusal() { m_hasAnonymousRefusals = true; }
    /// \brief True if some refusal of this server has carried no id. On a connection that was used
    /// before, such a refusal may be left over from an earlier request.
    bool hasAnonymousRefusals() const { return m_hasAnonymousRefusals; }

    void beginAttempt(TimePoint now) { m_sentTimes.insert(now); }
    void endAttempt(TimePoint sentAt);
    int inFlight() const { return static_cast<int>(m_sentTimes.size()); }
    /// \brief Time since the oldest request in flight was sent; zero if there is none.
    Duration oldestAttemptAge(TimePoint now) const;

private:
    BackendEntry m_entry;
    BackendScore m_score;
    BackendHold m_hold;
    ServerWork m_work;
    std::vector<std::shared_ptr<ClientConnection>> m_connections;
    std::multiset<TimePoint> m_sentTimes;
    int m_pendingConnects = 0;
    TimePoint m_connectBackoffUntil; ///< epoch: the server was never at its limit
    Duration m_connectBackoff{0};
    bool m_isRetired = false;
    bool m_isEvacuated = false;
    bool m_echoesIds = false;
    bool m_hasAnonymousRefusals = false;
};

} // namespace gwt
