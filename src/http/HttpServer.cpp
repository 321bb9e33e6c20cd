#include "http/HttpServer.h"

#include "common/Listener.h"
#include "common/Sleep.h"
#include "http/RequestParsing.h"
#include "http/internal/ServerConnection.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <list>
#include <mutex>
#include <sstream>

namespace gwt {

namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr Milliseconds acceptRetryDelay{20};
constexpr Milliseconds idleGracePeriod{200}; ///< from listener close to idle connection close
constexpr std::size_t maxHeaderBytes = 8192;
/// Part of the limit on connections that is kept free, so that ordinary callers find room.
constexpr std::size_t freeShare = 64;

} // namespace

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl>
{
    using Phase = ServerConnection::Phase;
    using ConnectionPtr = std::shared_ptr<ServerConnection>;

    Impl(Executor serverExecutor, HttpServerLimits serverLimits, HttpHandler serverHandler,
         HttpWireFilter wireFilter, ServerMemory *serverMemory)
        : executor(std::move(serverExecutor))
        , limits(serverLimits)
        , sizeLimits{maxHeaderBytes, serverLimits.maxBodyBytes}
        , handler(std::move(serverHandler))
        , filter(std::move(wireFilter))
        , memory(serverMemory)
        , acceptor(asio::make_strand(executor))
    { }

    Task<void> acceptLoop();
    Task<void> serve(ConnectionPtr connection);
    Task<bool> serveOne(ConnectionPtr connection);
    Task<void> endRequest(ConnectionPtr connection);
    void close(const ConnectionPtr &connection);
    Task<bool> write(ConnectionPtr connection, HttpResponse response, bool keepAlive);
    Task<bool> writeFiltered(ConnectionPtr connection, HttpWireBytes wire);
    Task<HttpResponse> runHandler(ConnectionPtr connection, HttpRequest request);
    void forEach(const std::function<void(const ConnectionPtr &)> &action);
    Task<bool> awaitRequest(ConnectionPtr connection);
    void startConnection(tcp::socket socket);
    std::vector<ConnectionPtr> openConnections();
    bool makeRoom();
    void closeListener();
    bool mayContinue(const ConnectionPtr &connection) const;
    static void closeIfIdle(const ConnectionPtr &connection);
    void add(const ConnectionPtr &connection);
    void remove(const ServerConnection *connection);

    Executor executor;
    HttpServerLimits limits;
    RequestSizeLimits sizeLimits;
    HttpHandler handler;
    HttpWireFilter filter;
    ServerMemory *memory;
    tcp::acceptor acceptor;
    std::atomic<bool> isDraining = false; ///< close each connection after its next response
    std::atomic<bool> isStopping = false;
    HttpResponse endResponse; ///< not changed once isEnding is set
    std::atomic<bool> isEnding = false; ///< answer all requests with endResponse
    std::atomic<int> inProgress = 0;
    mutable std::mutex mutex; ///< guards connections
    std::list<std::weak_ptr<ServerConnection>> connections;
    std::atomic<int> connectionCount = 0;
};

/// \brief False if the next response on \a connection is the last one. While draining, requests
/// that have arrived already are still answered.
bool HttpServer::Impl::mayContinue(const ConnectionPtr &connection) const
{
    if (!isDraining || connection->requests.waitingBytes() > 0)
        return true;
    char byte = 0;
    error_code failure;
    tcp::socket &socket = connection->stream.socket();
    return socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, failure) > 0;
}

/// \brief Closes \a connection unless a request arrives within the idle grace period.
void HttpServer::Impl::closeIfIdle(const ConnectionPtr &connection)
{
    const auto timer
        = std::make_shared<asio::steady_timer>(connection->stream.get_executor(), idleGracePeriod);
    timer->async_wait([timer, connection](const error_code &) {
        if (connection->phase() == Phase::Idle)
            connection->stream.cancel();
    });
}

void HttpServer::Impl::add(const ConnectionPtr &connection)
{
    const std::lock_guard lock(mutex);
    connections.push_back(connection);
    ++connectionCount;
}

void HttpServer::Impl::remove(const ServerConnection *connection)
{
    const std::lock_guard lock(mutex);
    connections.remove_if([connection](const std::weak_ptr<ServerConnection> &one) {
        const auto other = one.lock();
        return !other || other.get() == connection;
    });
    --connectionCount;
}

std::vector<HttpServer::Impl::ConnectionPtr> HttpServer::Impl::openConnections()
{
    std::vector<ConnectionPtr> open;
    const std::lock_guard lock(mutex);
    for (const auto &one : connections) {
        if (auto connection = one.lock())
            open.push_back(std::move(connection));
    }
    return open;
}

void HttpServer::Impl::forEach(const std::function<void(const ConnectionPtr &)> &action)
{
    for (const auto &connection : openConnections())
        asio::post(connection->stream.get_executor(), [action, connection] { action(connection); });
}

Task<void> HttpServer::Impl::acceptLoop()
{
    const auto self = shared_from_this();
    while (acceptor.is_open()) {
        auto [failure, socket]
            = co_await acceptor.async_accept(asio::make_strand(executor), asTuple);
        if (!failure) {
            // The listener may have been closed since this connection was accepted.
            startConnection(std::move(socket));
            continue;
        }
        if (failure == asio::error::operation_aborted || !acceptor.is_open())
            co_return;
        co_await sleepFor(acceptRetryDelay);
    }
}

void HttpServer::Impl::startConnection(tcp::socket socket)
{
    if (!makeRoom())
        return; // closes the socket
    auto connection = std::make_shared<ServerConnection>(std::move(socket), sizeLimits, memory);
    connection->start();
    add(connection);
    spawn(connection->stream.get_executor(), serve(connection));
    if (!acceptor.is_open())
        closeIfIdle(connection);
}

/// \brief Closes connections if the limit is almost reached: first idle ones, then those that send
/// a request or read a response, each the one longest without progress first. Those with a running
/// request stay. False if there is no room.
bool HttpServer::Impl::makeRoom()
{
    const auto open = static_cast<std::size_t>(connectionCount);
    const std::size_t wanted = limits.maxConnections / freeShare + 1;
    if (open + wanted <= limits.maxConnections)
        return true;
    using Candidate = std::pair<std::pair<bool, TimePoint>, ConnectionPtr>;
    std::vector<Candidate> candidates;
    std::size_t dropped = 0; // by an earlier call, and not closed yet
    for (auto &connection : openConnections()) {
        const Phase phase = connection->phase();
        dropped += connection->isDropped ? 1 : 0;
        if (!connection->isDropped && phase != Phase::Handling)
            candidates.push_back({{phase != Phase::Idle, connection->progressAt()}, connection});
    }
    std::sort(candidates.begin(), candidates.end());
    const std::size_t count
        = dropped >= wanted ? 0 : std::min(candidates.size(), 2 * wanted - dropped);
    for (std::size_t i = 0; i < count; ++i) {
        const ConnectionPtr &connection = candidates[i].second;
        connection->isDropped = true;
        asio::post(connection->stream.get_executor(), [connection] { connection->drop(); });
    }
    const bool hasRoom = open < limits.maxConnections;
    if (memory && (count > 0 || !hasRoom))
        memory->recordDropped(count + (hasRoom ? 0 : 1), limits.maxConnections);
    return hasRoom;
}

void HttpServer::Impl::closeListener()
{
    error_code failure;
    acceptor.non_blocking(true, failure);
    // Callers in the accept queue are already connected; closing the listener would reset them.
    while (!failure) {
        tcp::socket socket(asio::make_strand(executor));
        acceptor.accept(socket, failure);
        if (!failure)
            startConnection(std::move(socket));
    }
    acceptor.close(failure);
}

Task<void> HttpServer::Impl::serve(ConnectionPtr connection)
{
    const auto self = shared_from_this();
    while (co_await serveOne(connection)) {
    }
    if (!connection->isEnded)
        close(connection);
}

void HttpServer::Impl::close(const ConnectionPtr &connection)
{
    // Before the caller sees the close, because it may reconnect immediately.
    remove(connection.get());
    error_code ignored;
    connection->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    connection->stream.socket().close(ignored);
}

/// \brief Waits for the first bytes of a request; returns false to close the connection.
Task<bool> HttpServer::Impl::awaitRequest(ConnectionPtr connection)
{
    connection->setPhase(Phase::Idle);
    asio::steady_timer timer(connection->stream.get_executor(), limits.idleTimeout);
    timer.async_wait([connection](const error_code &stopped) {
        if (!stopped && connection->phase() == Phase::Idle)
            connection->stream.cancel();
    });
    const error_code failure = co_await connection->receive();
    connection->setPhase(Phase::Reading);
    if (failure != asio::error::operation_aborted)
        co_return !failure;
    // Cancelled while idle; a request may have arrived at the same time.
    co_return !connection->receiveArrived();
}

Task<bool> HttpServer::Impl::serveOne(ConnectionPtr connection)
{
    if (connection->requests.waitingBytes() == 0 && !co_await awaitRequest(connection))
        co_return false;
    ++inProgress;
    connection->setPhase(Phase::Reading);
    asio::steady_timer timer(connection->stream.get_executor(), limits.requestTimeout);
    // A handler that is queued already runs in spite of cancel(), perhaps within the next request.
    const auto isReceived = std::make_shared<bool>(false);
    timer.async_wait([connection, isReceived](const error_code &stopped) {
        if (!stopped && !*isReceived)
            connection->endReceiving(beast::error::timeout);
    });
    const error_code failure = co_await connection->receiveRequest();
    *isReceived = true;
    timer.cancel();
    if (failure) {
        const bool isInterrupted = isEnding && failure == asio::error::operation_aborted;
        const auto errorResponse
            = isInterrupted ? std::optional(endResponse) : errorResponseFor(failure);
        if (errorResponse) {
            co_await write(connection, *errorResponse, false);
            co_await connection->discardInput();
        }
        --inProgress;
        co_return false;
    }
    const bool isAdmitted = connection->admitRequest(limits.handledCopies);
    WireRequest message = isAdmitted ? connection->requests.take() : WireRequest{};
    const bool keepAlive = isAdmitted && message.keepAlive;
    HttpRequest request = toRequest(std::move(message));
    request.isFirstOnConnection = std::exchange(connection->isFirstRequest, false);
    HttpResponse response = memoryRefusal();
    if (isAdmitted)
        response = co_await runHandler(connection, std::move(request));
    if (connection->isEnded)
        co_return false;
    const bool staysOpen = keepAlive && !isEnding && !response.mustClose && mayContinue(connection);
    const bool isWritten = co_await write(connection, std::move(response), staysOpen);
    if (!isAdmitted)
        co_await connection->discardInput();
    --inProgress;
    co_return isWritten &&staysOpen;
}

/// \brief Answers the request of \a connection in place of its handler, which can't be abandoned.
Task<void> HttpServer::Impl::endRequest(ConnectionPtr connection)
{
    const auto self = shared_from_this();
    co_await write(connection, endResponse, false);
    co_await connection->discardInput();
    --inProgress;
    close(connection);
}

Task<HttpResponse> HttpServer::Impl::runHandler(ConnectionPtr connection, HttpRequest request)
{
    if (isEnding)
        co_return endResponse;
    const auto isDone = std::make_shared<std::atomic<bool>>(false);
    const CancelToken cancel = request.cancel;
    if (connection->requests.waitingBytes() == 0)
        spawn(connection->stream.get_executor(),
              ServerConnection::watchForClose(connection, cancel, isDone));
    connection->setPhase(Phase::Handling);
    HttpResponse response = co_await handler(std::move(request));
    *isDone = true;
    if (!connection->isEnded && connection->stream.socket().is_open())
        connection->stream.socket().cancel();
    co_return response;
}

Task<bool> HttpServer::Impl::write(ConnectionPtr connection, HttpResponse response, bool keepAlive)
{
    connection->setPhase(Phase::Writing);
    connection->holdResponse(response.body.capacity());
    http::response<http::string_body> message;
    message.version(11);
    message.result(static_cast<unsigned>(response.status));
    for (const auto &[name, value] : response.headers)
        message.set(name, value);
    message.body() = std::move(response.body);
    message.keep_alive(keepAlive);
    message.prepare_payload();
    connection->stream.expires_after(limits.requestTimeout);
    bool isWritten = false;
    if (filter) {
        std::ostringstream text;
        text << message;
        HttpWireBytes wire = filter(HttpWireBytes{text.str(), false});
        isWritten = co_await writeFiltered(connection, std::move(wire));
    } else {
        const auto [failure, bytes]
            = co_await http::async_write(connection->stream, message, asTuple);
        isWritten = !failure;
    }
    connection->stream.expires_never();
    connection->releaseRequest();
    co_return isWritten;
}

Task<bool> HttpServer::Impl::writeFiltered(ConnectionPtr connection, HttpWireBytes wire)
{
    const auto [failure, bytes]
        = co_await asio::async_write(connection->stream, asio::buffer(wire.bytes), asTuple);
    co_return !failure && !wire.mustClose;
}

HttpServer::HttpServer(Executor executor, HttpServerLimits limits, HttpHandler handler,
                       HttpWireFilter filter, ServerMemory *memory)
    : m_impl(std::make_shared<Impl>(std::move(executor), limits, std::move(handler),
                                    std::move(filter), memory))
{ }

HttpServer::~HttpServer()
{
    closeAll();
}

Outcome<Endpoint> HttpServer::listen(const Endpoint &local)
{
    tcp::acceptor &acceptor = m_impl->acceptor;
    Outcome<Endpoint> bound = openListener(acceptor, local, m_impl->limits.receiveBufferBytes);
    if (isOk(bound))
        spawn(acceptor.get_executor(), m_impl->acceptLoop());
    return bound;
}

void HttpServer::startDraining()
{
    m_impl->isDraining = true;
}

void HttpServer::stopAccepting()
{
    startDraining();
    if (m_impl->isStopping.exchange(true))
        return;
    asio::post(m_impl->acceptor.get_executor(), [impl = m_impl] {
        impl->closeListener();
        impl->forEach([](const Impl::ConnectionPtr &connection) { Impl::closeIfIdle(connection); });
    });
}

void HttpServer::endRequests(HttpResponse response)
{
    if (m_impl->isEnding)
        return;
    m_impl->endResponse = std::move(response);
    m_impl->isEnding = true;
    m_impl->forEach([impl = m_impl](const Impl::ConnectionPtr &connection) {
        if (connection->phase() == ServerConnection::Phase::Handling) {
            connection->isEnded = true;
            spawn(connection->stream.get_executor(), impl->endRequest(connection));
        } else if (connection->phase() == ServerConnection::Phase::Reading) {
            connection->endReceiving(asio::error::operation_aborted);
        }
    });
}

int HttpServer::requestsInProgress() const
{
    return m_impl->inProgress;
}

int HttpServer::connections() const
{
    return m_impl->connectionCount;
}

void HttpServer::closeAll()
{
    stopAccepting();
    m_impl->forEach([](const Impl::ConnectionPtr &connection) { connection->stream.close(); });
}

} // namespace gwt
