#include "http/HttpClient.h"

namespace gwt {

namespace {

constexpr std::size_t maxIdlePerEndpoint = 16;
constexpr std::chrono::seconds maxIdleTime{10};

} // namespace

HttpClient::HttpClient(Executor executor)
    : m_executor(std::move(executor))
{ }

Task<Outcome<HttpResponse>> HttpClient::send(const Endpoint &remote, HttpRequest request,
                                             TimePoint deadline, CancelToken cancel)
{
    std::unique_ptr<HttpConnection> connection = takeIdle(remote);
    if (!connection) {
        connection = std::make_unique<HttpConnection>(asio::make_strand(m_executor), remote);
        const Outcome<Done> connected = co_await connection->connect(deadline);
        if (!isOk(connected))
            co_return errorOf(connected);
    }
    Outcome<HttpResponse> response
        = co_await connection->exchange(std::move(request), deadline, cancel);
    returnToPool(remote, std::move(connection));
    co_return response;
}

std::unique_ptr<HttpConnection> HttpClient::takeIdle(const Endpoint &remote)
{
    std::vector<std::unique_ptr<HttpConnection>> discarded; // destroyed after the lock is released
    const std::lock_guard lock(m_mutex);
    return m_idle[remote].take(maxIdleTime, discarded);
}

void HttpClient::returnToPool(const Endpoint &remote, std::unique_ptr<HttpConnection> connection)
{
    if (!connection->isReusable())
        return;
    std::vector<std::unique_ptr<HttpConnection>> discarded; // destroyed after the lock is released
    const std::lock_guard lock(m_mutex);
    IdleConnections &idle = m_idle[remote];
    idle.add(std::move(connection));
    idle.trim(maxIdleTime, maxIdlePerEndpoint, discarded);
}

} // namespace gwt
