#pragma once

#include "common/Metrics.h"
#include "gateway/backends/BackendAttempt.h"
#include "gateway/backends/BackendServer.h"
#include "gateway/backends/PoolContext.h"
#include "gateway/backends/ServerConnector.h"
#include "gateway/policy/RetryBudget.h"

#include <boost/asio/io_context.hpp>

#include <list>
#include <map>

namespace gwt {

/// \brief The backend servers of one service and the queue of attempts that wait for a connection.
class ServicePool
{
public:
    ServicePool(PoolContext &context, std::string service, RetryBudgetRules budget);

    void setServer(const BackendEntry &entry);
    void removeServer(const std::string &id);
    /// \brief Applies a change of the evacuated availability zones in the context.
    void updateEvacuations();
    /// \brief Sets how many connections this process may hold to each backend server. Idle ones
    /// beyond that are closed now, those in use once they are idle.
    void setConnectionShare(int connections);
    int connectionShare() const { return m_connectionShare; }

    /// \brief Sends \a attempt as soon as a connection is free; its handler may run at once.
    void submit(const std::shared_ptr<BackendAttempt> &attempt);
    /// \brief Drops the handler of \a attempt; a queued attempt is dropped, a sent one runs to
    /// completion.
    void detach(const std::shared_ptr<BackendAttempt> &attempt);
    /// \brief Drops \a attempt and closes its connection, after its caller has disconnected.
    void cancel(const std::shared_ptr<BackendAttempt> &attempt);

    /// \brief True if some backend server that is not in \a excluded can take work.
    bool hasServer(TimePoint now, const std::vector<std::string> &excluded = {}) const;
    /// \brief Lowest expected latency at any server that is not in \a excluded, for a request whose
    /// typical latency is \a typicalLatency; Duration::max() if there is no such server.
    Duration expectedLatency(Duration typicalLatency, const std::vector<std::string> &excluded,
                             TimePoint now) const;
    /// \brief When a server that only holds requests off can take work again; nullopt if there is
    /// no such server, or if hasServer() is true.
    std::optional<TimePoint> nextHoldEnd(TimePoint now) const;
    RetryBudget &budget() { return m_budget; }
    const RetryBudget &budget() const { return m_budget; }
    std::size_t queueLength() const { return m_queue.size(); }
    /// \brief Number of attempts that have not ended, including those that nobody waits for.
    std::size_t openAttempts() const { return m_openAttempts; }
    bool isEmpty() const { return m_servers.empty(); }
    const std::map<std::string, std::shared_ptr<BackendServer>> &servers() const
    {
        return m_servers;
    }

private:
    struct Choice
    {
        std::shared_ptr<BackendServer> server;
        std::shared_ptr<ClientConnection> connection; ///< null: a new one must be opened first
    };

    void removeInstance(BackendServer &server);
    void updateEvacuation(BackendServer &server);
    void dispatch();
    bool isCandidate(const BackendServer &server, const std::vector<std::string> &excluded,
                     TimePoint now) const;
    bool isCandidate(const BackendServer &server, const BackendAttempt &attempt,
                     TimePoint now) const;
    bool hasCandidate(const BackendAttempt &attempt, TimePoint now) const;
    Duration expectedLatency(const BackendServer &server, Duration typicalLatency,
                             TimePoint now) const;
    ServerLoad loadOf(const BackendServer &server, TimePoint now) const;
    Choice choose(const BackendAttempt &attempt, TimePoint now);
    /// \brief True if a connection to \a server may be opened, in place of an idle one if need be.
    bool mayConnect(const BackendServer &server, TimePoint now) const;
    /// \brief Ends the queued \a attempt if it could not be answered in time, else bounds its wait.
    void limitQueueWait(const std::shared_ptr<BackendAttempt> &attempt);
    void send(const std::shared_ptr<BackendAttempt> &attempt, const Choice &choice, TimePoint now);
    void onReply(const std::shared_ptr<BackendAttempt> &attempt, Outcome<WireResponse> outcome);
    /// \brief Returns false if the response with \a head belongs to an earlier request.
    bool onResponseHead(const std::shared_ptr<BackendAttempt> &attempt, const WireResponse &head);
    /// \brief Whether the response with \a head, which carries no id, belongs to \a attempt.
    bool belongsWithoutId(const BackendAttempt &attempt, const WireResponse &head);
    void startHold(const std::shared_ptr<BackendServer> &server, TimePoint until, TimePoint now);
    void expire(const std::shared_ptr<BackendAttempt> &attempt);
    void finish(const std::shared_ptr<BackendAttempt> &attempt, AttemptReply reply);
    void release(const std::shared_ptr<BackendAttempt> &attempt);
    void enqueue(const std::shared_ptr<BackendAttempt> &attempt);

    PoolContext &m_context;
    const std::string m_service;
    RetryBudget m_budget;
    ServerConnector m_connector;
    std::map<std::string, std::shared_ptr<BackendServer>> m_servers; ///< by id
    std::list<std::shared_ptr<BackendAttempt>> m_queue; ///< most urgent first, then oldest
    int m_connectionShare = 1;
    std::uint64_t m_lastNumber = 0;
    std::size_t m_openAttempts = 0;
    bool m_isDispatching = false;
};

} // namespace gwt
