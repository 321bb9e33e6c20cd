#pragma once

#include "http/IdleConnections.h"

#include <map>
#include <mutex>

namespace gwt {

/// \brief Sends requests to any endpoint and pools idle connections. Thread-safe.
///
/// Only the number of concurrent calls bounds the connections per endpoint. A caller that needs a
/// hard limit uses HttpConnection directly.
class HttpClient
{
public:
    explicit HttpClient(Executor executor);

    /// \brief Sends \a request and returns the response. Errors: those of
    /// HttpConnection::connect() and exchange(). A request is never retried.
    Task<Outcome<HttpResponse>> send(const Endpoint &remote, HttpRequest request,
                                     TimePoint deadline, CancelToken cancel = {});

private:
    std::unique_ptr<HttpConnection> takeIdle(const Endpoint &remote);
    void returnToPool(const Endpoint &remote, std::unique_ptr<HttpConnection> connection);

    Executor m_executor;
    std::mutex m_mutex;
    std::map<Endpoint, IdleConnections> m_idle;
};

} // namespace gwt
