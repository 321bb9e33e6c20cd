#pragma once

#include "SoakBackend.h"
#include "SoakGateway.h"

#include "http/ClientConnection.h"

#include <functional>
#include <string>
#include <vector>

namespace gwt::test {

/// \brief A request whose connection a gateway ended without a response, though it was not killed.
struct UnansweredRequest
{
    std::string id;
    std::string gateway;
    Milliseconds waited{0}; ///< from its last byte to the end of the connection
    /// False if it arrived with a request whose response kept the connection open.
    bool mayCrossClose = true;
};

/// \brief Observations of all callers of one soak.
struct SoakFindings
{
    std::vector<std::string> violations; ///< descriptions of violated guarantees
    std::vector<std::string> refused; ///< ids of unsafe requests that were refused as not executed
    int served = 0;
    int refusals = 0;
    std::vector<std::string> failures; ///< requests without a valid response, with the reason
    std::vector<UnansweredRequest> unanswered;
    std::vector<TimePoint> publishedAt; ///< of configuration version 1 and up
    Milliseconds longestDelay{0}; ///< of a configuration at undisturbed gateways
};

/// \brief Caller that sends requests over one connection until the gateway closes it, and checks
/// each response against the records of the backend servers.
class SoakCaller
{
public:
    SoakCaller(boost::asio::io_context &context, TimerQueue &timers, SoakGateway &gateway,
               std::vector<std::string> shards, std::string name, std::uint64_t seed,
               SoakFindings &findings);

    /// \brief True if the request with \a id may be executed at most once.
    static bool isUnsafe(const std::string &id);

    void start() { sendNext(); }
    void stop() { m_isStopped = true; }

private:
    void sendNext();
    void connect();
    void send();
    void onResponse(const std::string &id, int kind, const Outcome<WireResponse> &outcome);
    void checkSingle(const std::string &service, const std::string &id,
                     const WireResponse &response);
    void checkQuery(const std::string &id, const WireResponse &response);
    void checkVersion(const WireResponse &response);
    void checkDelay(std::size_t version);
    void recordFailure(const std::string &id, const std::string &reason);
    void recordUnanswered(const std::string &id);
    void reportViolation(const std::string &what, const std::string &id);

    boost::asio::io_context &m_context;
    TimerQueue &m_timers;
    SoakGateway &m_gateway;
    const std::vector<std::string> m_shards;
    const std::string m_name;
    RandomEngine m_random;
    SoakFindings &m_findings;
    std::shared_ptr<ClientConnection> m_connection;
    TimerQueue::Id m_replyTimer;
    TimePoint m_sentAt;
    int m_number = 0;
    int m_lastVersion = 0;
    int m_startsAtConnect = 0;
    bool m_isStopped = false;
};

} // namespace gwt::test
