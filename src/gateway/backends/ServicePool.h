#pragma once

#include "common/Metrics.h"
#include "gateway/backends/BackendServer.h"
#include "gateway/backends/Leg.h"
#include "gateway/policy/RetryBudget.h"

#include <boost/asio/io_context.hpp>

#include <list>
#include <map>

namespace gwt {

/// \brief What all service pools of a process share.
struct PoolContext
{
    boost::asio::io_context &context;
    TimerQueue &timers;
    const HeaderNames &names;
    Metrics &metrics;
    std::string availabilityZone; ///< of this process
};

/// \brief The backend servers of one service, and the legs that wait for a connection to one.
class ServicePool
{
public:
    ServicePool(PoolContext &context, std::string service, RetryBudgetRules budget);

    void setServer(const BackendEntry &entry);
    void removeServer(const std::string &id);
    /// \brief Connections that this process may hold to each backend server.
    void setConnectionShare(int connections) { m_connectionShare = connections; }
    int connectionShare() const { return m_connectionShare; }

    /// \brief Sends \a leg as soon as a connection is free; its handler may run at once.
    void submit(const std::shared_ptr<Leg> &leg);
    /// \brief Nobody waits for \a leg any more: a waiting leg is dropped, a sent one runs on.
    void detach(const std::shared_ptr<Leg> &leg);
    /// \brief The caller has left: \a leg is dropped and its connection closed.
    void cancel(const std::shared_ptr<Leg> &leg);

    /// \brief True if some backend server other than those of \a avoid can take work.
    bool hasServer(TimePoint now, const std::vector<std::string> &avoid = {}) const;
    /// \brief Least time in which a server other than those of \a avoid is expected to answer a
    /// request whose usual latency is \a usual; the longest time if there is none.
    Duration expectedLatency(Duration typicalLatency, const std::vector<std::string> &avoid,
                             TimePoint now) const;
    RetryBudget &budget() { return m_budget; }
    const RetryBudget &budget() const { return m_budget; }
    std::size_t waiting() const { return m_queue.size(); }
    /// \brief Legs that have not ended, those that nobody waits for included.
    std::size_t openLegs() const { return m_openLegs; }
    bool isEmpty() const { return m_servers.empty(); }
    const std::map<std::string, std::shared_ptr<BackendServer>> &servers() const
    {
        return m_servers;
    }

private:
    struct Choice
    {
        std::shared_ptr<BackendServer> server;
        std::shared_ptr<ClientConnection> connection; ///< null: a new one is needed first
    };

    void dispatch();
    bool isCandidate(const BackendServer &server, const std::vector<std::string> &avoid,
                     TimePoint now) const;
    bool isCandidate(const BackendServer &server, const Leg &leg, TimePoint now) const;
    bool hasCandidate(const Leg &leg, TimePoint now) const;
    Duration expectedLatency(const BackendServer &server, Duration typicalLatency,
                             TimePoint now) const;
    Choice choose(const Leg &leg, TimePoint now);
    /// \brief Ends \a leg if it waits and could not be answered in time, else bounds its wait.
    void boundWait(const std::shared_ptr<Leg> &leg);
    void send(const std::shared_ptr<Leg> &leg, const Choice &choice, TimePoint now);
    void openConnection(const std::shared_ptr<BackendServer> &server);
    void onConnected(const std::shared_ptr<BackendServer> &server,
                     const std::shared_ptr<ClientConnection> &connection);
    void onConnectFailed(const std::shared_ptr<BackendServer> &server, const Error &error);
    void holdConnects(const std::shared_ptr<BackendServer> &server);
    void onReply(const std::shared_ptr<Leg> &leg, Outcome<WireResponse> outcome);
    LegReply interpret(const Leg &leg, Outcome<WireResponse> &outcome) const;
    void expire(const std::shared_ptr<Leg> &leg);
    void end(const std::shared_ptr<Leg> &leg, LegReply reply);
    void release(const std::shared_ptr<Leg> &leg);
    void enqueue(const std::shared_ptr<Leg> &leg);

    PoolContext &m_context;
    const std::string m_service;
    RetryBudget m_budget;
    std::map<std::string, std::shared_ptr<BackendServer>> m_servers; ///< by id
    std::list<std::shared_ptr<Leg>> m_queue; ///< most urgent first, then oldest
    int m_connectionShare = 1;
    std::uint64_t m_lastNumber = 0;
    std::size_t m_openLegs = 0;
    bool m_isDispatching = false;
};

} // namespace gwt
