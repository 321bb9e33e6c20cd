#include "gateway/callers/CallerServer.h"

#include "common/Listener.h"
#include "common/Log.h"

#include <algorithm>

namespace gwt {

namespace {

/// Delay before the next accept after a failed one, as when no file descriptor is free.
constexpr Milliseconds acceptRetryDelay{20};
constexpr std::size_t minPruneThreshold = 64;
/// Part of the limit that is closed at once when it is reached.
constexpr std::size_t closedShare = 64;

} // namespace

CallerServer::CallerServer(boost::asio::io_context &context, const CallerContext &callerContext)
    : m_callerContext(callerContext)
    , m_acceptor(context)
{ }

Outcome<Endpoint> CallerServer::listen(const Endpoint &local)
{
    Outcome<Endpoint> bound = openListener(m_acceptor, local, m_callerContext.receiveBufferBytes);
    if (isOk(bound))
        accept();
    return bound;
}

void CallerServer::accept()
{
    m_acceptor.async_accept(
        [this](const boost::system::error_code &failure, boost::asio::ip::tcp::socket socket) {
            // An accept that had completed when the listener was closed still brings its caller.
            if (!failure)
                start(std::move(socket));
            if (!m_acceptor.is_open())
                return;
            if (failure) {
                logWarning("accept_failed", {{"problem", failure.message()}});
                m_callerContext.timers.after(acceptRetryDelay, [this] { accept(); });
                return;
            }
            accept();
        });
}

void CallerServer::start(boost::asio::ip::tcp::socket socket)
{
    if (!makeRoom())
        return; // closes the socket
    const auto connection = std::make_shared<CallerConnection>(std::move(socket), m_callerContext);
    m_connections.push_back(connection);
    if (m_connections.size() >= m_pruneThreshold)
        prune();
    connection->start();
}

void CallerServer::stopAccepting()
{
    // The callers in the queue are connected already; closing the listener would reset them.
    boost::system::error_code failure;
    m_acceptor.non_blocking(true, failure);
    while (!failure) {
        boost::asio::ip::tcp::socket socket(m_acceptor.get_executor());
        m_acceptor.accept(socket, failure);
        if (!failure)
            start(std::move(socket));
    }
    m_acceptor.close(failure);
}

bool CallerServer::makeRoom()
{
    const std::size_t limit = m_callerContext.maxConnections;
    if (limit == 0 || m_connections.size() < limit)
        return true;
    using Candidate = std::pair<std::pair<int, TimePoint>, std::shared_ptr<CallerConnection>>;
    std::vector<Candidate> candidates;
    for (auto &connection : openConnections()) {
        const auto preference = connection->closePreference();
        candidates.emplace_back(preference, std::move(connection));
    }
    if (candidates.size() < limit)
        return true;
    std::sort(candidates.begin(), candidates.end());
    // Several at once, so that the search isn't repeated for each new connection.
    const std::size_t wanted = candidates.size() - limit + 1 + limit / closedShare;
    std::size_t closed = 0;
    for (const auto &[preference, connection] : candidates) {
        if (closed < wanted && connection->closeForAnother())
            ++closed;
    }
    m_callerContext.metrics
        .counter("gwt_gateway_connections_dropped_total",
                 "Connections closed because the limit on connections was reached")
        .Increment(static_cast<double>(closed == 0 ? 1 : closed));
    if (m_logLimiter.allowUnserved(Clock::now()))
        logInfo("connection_limit", {{"limit", limit}, {"closed", closed}});
    return closed > 0;
}

void CallerServer::prune()
{
    m_connections.remove_if([](const auto &weak) {
        const auto connection = weak.lock();
        return !connection || !connection->isOpen();
    });
    m_pruneThreshold = std::max(minPruneThreshold, 2 * m_connections.size());
}

std::vector<std::shared_ptr<CallerConnection>> CallerServer::openConnections()
{
    prune();
    std::vector<std::shared_ptr<CallerConnection>> open;
    for (const auto &weak : m_connections) {
        if (auto connection = weak.lock())
            open.push_back(std::move(connection));
    }
    return open;
}

void CallerServer::closeIdle()
{
    for (const auto &connection : openConnections())
        connection->closeIfIdle();
}

void CallerServer::endRequests()
{
    for (const auto &connection : openConnections())
        connection->endRequest();
}

bool CallerServer::isDrained()
{
    const auto open = openConnections();
    return std::none_of(open.begin(), open.end(),
                        [](const auto &connection) { return connection->isBusy(); });
}

std::vector<OpenRequest> CallerServer::openRequests()
{
    std::vector<OpenRequest> requests;
    for (const auto &connection : openConnections()) {
        connection->appendOpenRequests(requests);
    }
    return requests;
}

std::size_t CallerServer::connections()
{
    prune();
    return m_connections.size();
}

} // namespace gwt
