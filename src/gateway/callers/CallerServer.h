#pragma once

#include "common/Endpoint.h"
#include "common/Outcome.h"
#include "gateway/callers/CallerConnection.h"

#include <boost/asio/io_context.hpp>

#include <list>
#include <vector>

namespace gwt {

/// \brief Accepts the connections of callers at one address.
class CallerServer
{
public:
    CallerServer(boost::asio::io_context &context, const CallerContext &callerContext);

    /// \brief Errors: Unavailable "listen_failed".
    Outcome<Endpoint> listen(const Endpoint &local);
    /// \brief Closes each connection from now on after the response to the last request that has
    /// arrived; still accepts new connections.
    void drain() { m_callerContext.isDraining = true; }
    /// \brief Accepts the connections that wait in the queue and closes the listener.
    void stopAccepting();
    /// \brief Closes the connections on which no request is being read, handled or answered.
    void closeIdle();
    /// \brief Ends each request that is open now with a response without a result. Later ones are
    /// refused by the handler, which knows the stop time.
    void endRequests();
    /// \brief True if no request is being handled or answered.
    bool isDrained();
    /// \brief The requests without a complete response.
    std::vector<OpenRequest> openRequests();
    /// \brief Number of open connections.
    std::size_t connections();

private:
    void accept();
    void start(boost::asio::ip::tcp::socket socket);
    std::vector<std::shared_ptr<CallerConnection>> openConnections();
    void prune();
    /// \brief Closes connections if the limit is reached; false if none could be closed.
    bool makeRoom();

    CallerContext m_callerContext;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::list<std::weak_ptr<CallerConnection>> m_connections;
    LogRateLimiter m_logLimiter;
    std::size_t m_pruneThreshold = 64; ///< list size at which closed connections are removed
};

} // namespace gwt
