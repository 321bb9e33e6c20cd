#include "gateway/callers/CallerServer.h"

#include "common/Listener.h"
#include "common/Log.h"

#include <algorithm>

namespace gwt {

namespace {

/// Delay before the next accept after a failed one, as when no file descriptor is free.
constexpr Milliseconds acceptRetryDelay{20};
constexpr std::size_t minPruneThreshold = 64;

} // namespace

CallerServer::CallerServer(boost::asio::io_context &context, const CallerContext &callerContext)
    : m_callerContext(callerContext)
    , m_acceptor(context)
{ }

Outcome<Endpoint> CallerServer::listen(const Endpoint &local)
{
    Outcome<Endpoint> bound = openListener(m_acceptor, local);
    if (isOk(bound))
        accept();
    return bound;
}

void CallerServer::accept()
{
    m_acceptor.async_accept(
        [this](const boost::system::error_code &failure, boost::asio::ip::tcp::socket socket) {
            if (failure == boost::asio::error::operation_aborted)
                return;
            if (failure) {
                logWarning("accept_failed", {{"problem", failure.message()}});
                m_callerContext.timers.after(acceptRetryDelay, [this] { accept(); });
                return;
            }
            const auto connection
                = std::make_shared<CallerConnection>(std::move(socket), m_callerContext);
            m_connections.push_back(connection);
            if (m_connections.size() >= m_pruneThreshold)
                prune();
            connection->start();
            accept();
        });
}

void CallerServer::prune()
{
    m_connections.remove_if([](const auto &weak) {
        const auto connection = weak.lock();
        return !connection || !connection->isOpen();
    });
    m_pruneThreshold = std::max(minPruneThreshold, 2 * m_connections.size());
}

void CallerServer::closeIdle()
{
    prune();
    for (const auto &weak : m_connections) {
        if (const auto connection = weak.lock())
            connection->closeIfIdle();
    }
}

bool CallerServer::isDrained()
{
    prune();
    return std::none_of(m_connections.begin(), m_connections.end(), [](const auto &weak) {
        const auto connection = weak.lock();
        return connection && connection->isBusy();
    });
}

std::vector<OpenRequest> CallerServer::openRequests()
{
    prune();
    std::vector<OpenRequest> requests;
    for (const auto &weak : m_connections) {
        const auto connection = weak.lock();
        if (!connection)
            continue;
        if (auto request = connection->openRequest())
            requests.push_back(std::move(*request));
    }
    return requests;
}

std::size_t CallerServer::connections()
{
    prune();
    return m_connections.size();
}

} // namespace gwt
