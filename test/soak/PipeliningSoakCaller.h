#pragma once

#include "SoakCaller.h"
#include "SoakGateway.h"

#include "common/Random.h"
#include "common/TimerQueue.h"

#include <boost/asio/ip/tcp.hpp>

#include <deque>
#include <memory>
#include <string>

namespace gwt::test {

/// \brief Caller that sends several requests in one write, over one connection until the gateway
/// closes it, and checks that each gets its own response, in order.
class PipeliningSoakCaller
{
public:
    PipeliningSoakCaller(boost::asio::io_context &context, TimerQueue &timers, SoakGateway &gateway,
                         std::string name, std::uint64_t seed, SoakFindings &findings);

    void start() { connect(); }
    void stop() { m_isStopped = true; }

private:
    struct Connection;
    struct Request
    {
        std::string id;
        const char *service = nullptr;
    };

    void connect();
    void sendBatch();
    std::string nextRequest();
    void armReplyTimer();
    void readResponse();
    void onResponse(const WireResponse &response);
    void checkResponse(const Request &request, const WireResponse &response);
    void onReadFailure(const boost::system::error_code &failure);
    void onEnd();
    void closeConnection();
    void onReplyTimeout();
    void recordFailure(const std::string &id, const std::string &reason);
    void reportViolation(const std::string &what, const std::string &id);

    boost::asio::io_context &m_context;
    TimerQueue &m_timers;
    SoakGateway &m_gateway;
    const std::string m_name;
    RandomEngine m_random;
    SoakFindings &m_findings;
    std::shared_ptr<Connection> m_connection; ///< handlers of earlier ones have no effect
    std::deque<Request> m_waiting; ///< requests of the last batch without a response
    TimePoint m_sentAt; ///< time of the last batch
    TimerQueue::Id m_replyTimer;
    bool m_hasBatchResponse = false; ///< a response to the last batch has been received
    bool m_isClosing = false; ///< the last response said that it closes the connection
    int m_number = 0;
    bool m_isStopped = false;
};

} // namespace gwt::test
