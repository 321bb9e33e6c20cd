#pragma once

#include "common/Outcome.h"
#include "common/Task.h"
#include "common/Time.h"
#include "http/HttpMessage.h"
#include "http/ServerMemory.h"

#include <functional>
#include <memory>
#include <string>

namespace gwt {

/// \brief Limits on callers of an HttpServer.
struct HttpServerLimits
{
    std::size_t maxBodyBytes = 1U << 20U;
    std::size_t maxConnections = 10'000;
    Milliseconds requestTimeout{10'000}; ///< from the first byte of a request to its last
    Milliseconds idleTimeout{60'000}; ///< between two requests of one connection
    int receiveBufferBytes = 0; ///< in the kernel, of each connection; 0: the system's default
    std::size_t handledCopies = 3; ///< of a request in memory while it is handled
};

/// \brief Handles one request. Must not throw.
using HttpHandler = std::function<Task<HttpResponse>(HttpRequest)>;

/// \brief The serialized bytes of a response.
struct HttpWireBytes
{
    std::string bytes;
    bool mustClose = false; ///< close the connection after these bytes
};

/// \brief Transforms the bytes of a response before they are sent.
using HttpWireFilter = std::function<HttpWireBytes(HttpWireBytes)>;

/// \brief An HTTP/1.1 server with keep-alive; handles the requests of a connection sequentially.
///
/// Cancels a request's token when its caller closes the connection.
class HttpServer
{
public:
    /// \brief Creates a server; without a \a filter, responses are sent unchanged. \a memory limits
    /// what its callers occupy, with those of other servers; null: no limit.
    HttpServer(Executor executor, HttpServerLimits limits, HttpHandler handler,
               HttpWireFilter filter = {}, ServerMemory *memory = nullptr);
    ~HttpServer();

    /// \brief Binds and starts accepting. Port 0 selects a free port.
    Outcome<Endpoint> listen(const Endpoint &local);

    /// \brief Closes each connection after its next response; still accepts new connections.
    void startDraining();
    /// \brief Closes the listener, and each connection after its request in progress.
    ///
    /// Connections in the accept queue are still served. An idle connection stays open for a short
    /// grace period, in case a request is just arriving.
    void stopAccepting();
    /// \brief Answers each request that has no response yet with \a response and closes its
    /// connection. The handlers continue; their responses are discarded.
    ///
    /// Requests that arrive later get the same response. Call after stopAccepting().
    void endRequests(HttpResponse response);
    /// \brief Number of requests whose response is not fully written.
    int requestsInProgress() const;
    /// \brief Number of open connections.
    int connections() const;
    /// \brief Closes the listener and all connections immediately.
    void closeAll();

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace gwt
