#include "http/HttpServer.h"

#include "common/Listener.h"
#include "common/Sleep.h"
#include "http/ParserLimits.h"
#include "http/RequestParser.h"
#include "http/RequestParsing.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <atomic>
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
constexpr std::size_t readBytes = 4096;
constexpr std::uint32_t maxHeaderBytes = 8192;
constexpr Milliseconds discardTimeout{500}; ///< to read the rest of a rejected request

} // namespace

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl>
{
    Impl(Executor serverExecutor, HttpServerLimits serverLimits, HttpHandler serverHandler,
         HttpWireFilter wireFilter)
        : executor(std::move(serverExecutor))
        , limits(serverLimits)
        , handler(std::move(serverHandler))
        , filter(std::move(wireFilter))
        , acceptor(asio::make_strand(executor))
    { }

    struct Connection
    {
        explicit Connection(tcp::socket socket)
            : stream(std::move(socket))
        { }
        beast::tcp_stream stream;
        beast::flat_buffer buffer{maxUnparsedBytes};
        std::atomic<bool> isIdle = true;
        bool isReading = false; ///< a request has been read in part
        bool isHandling = false; ///< a handler runs
        bool isEnded = false; ///< endRequest() has answered in place of the handler
        bool isFirstRequest = true; ///< no request has been read yet
    };
    using ConnectionPtr = std::shared_ptr<Connection>;

    Task<void> acceptLoop();
    Task<void> serve(ConnectionPtr connection);
    Task<bool> serveOne(ConnectionPtr connection);
    Task<void> endRequest(ConnectionPtr connection);
    void close(const ConnectionPtr &connection);
    Task<bool> write(ConnectionPtr connection, HttpResponse response, bool keepAlive);
    Task<bool> writeFiltered(ConnectionPtr connection, HttpWireBytes wire);
    Task<HttpResponse> runHandler(ConnectionPtr connection, HttpRequest request);
    static Task<void> watchForClose(ConnectionPtr connection, CancelToken cancel,
                                    std::shared_ptr<std::atomic<bool>> isDone);
    void forEach(const std::function<void(const ConnectionPtr &)> &action);
    static Task<void> discardInput(ConnectionPtr connection);
    Task<bool> awaitRequest(ConnectionPtr connection);
    void startConnection(tcp::socket socket);
    void closeListener();
    bool mayContinue(const ConnectionPtr &connection) const;
    static void closeIfIdle(const ConnectionPtr &connection);
    void add(const ConnectionPtr &connection);
    void remove(const Connection *connection);

    Executor executor;
    HttpServerLimits limits;
    HttpHandler handler;
    HttpWireFilter filter;
    tcp::acceptor acceptor;
    std::atomic<bool> isDraining = false; ///< close each connection after its next response
    std::atomic<bool> isStopping = false;
    HttpResponse endResponse; ///< not changed once isEnding is set
    std::atomic<bool> isEnding = false; ///< answer all requests with endResponse
    std::atomic<int> inProgress = 0;
    mutable std::mutex mutex; ///< guards connections
    std::list<std::weak_ptr<Connection>> connections;
    std::atomic<int> connectionCount = 0;
};

/// \brief False if the next response on \a connection is the last one. While draining, requests
/// that have arrived already are still answered.
bool HttpServer::Impl::mayContinue(const ConnectionPtr &connection) const
{
    if (!isDraining || connection->buffer.size() > 0)
        return true;
    char byte = 0;
    error_code failure;
    tcp::socket &socket = connection->stream.socket();
    socket.non_blocking(true, failure);
    return socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, failure) > 0;
}

/// \brief Closes \a connection unless a request arrives within the idle grace period.
void HttpServer::Impl::closeIfIdle(const ConnectionPtr &connection)
{
    const auto timer
        = std::make_shared<asio::steady_timer>(connection->stream.get_executor(), idleGracePeriod);
    timer->async_wait([timer, connection](const error_code &) {
        if (connection->isIdle)
            connection->stream.cancel();
    });
}

void HttpServer::Impl::add(const ConnectionPtr &connection)
{
    const std::lock_guard lock(mutex);
    connections.push_back(connection);
    ++connectionCount;
}

void HttpServer::Impl::remove(const Connection *connection)
{
    const std::lock_guard lock(mutex);
    connections.remove_if([connection](const std::weak_ptr<Connection> &one) {
        const auto other = one.lock();
        return !other || other.get() == connection;
    });
    --connectionCount;
}

void HttpServer::Impl::forEach(const std::function<void(const ConnectionPtr &)> &action)
{
    std::vector<ConnectionPtr> all;
    {
        const std::lock_guard lock(mutex);
        for (const auto &one : connections) {
            if (auto connection = one.lock())
                all.push_back(std::move(connection));
        }
    }
    for (const auto &connection : all)
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
    if (connectionCount >= static_cast<int>(limits.maxConnections))
        return;
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    auto connection = std::make_shared<Connection>(std::move(socket));
    add(connection);
    spawn(connection->stream.get_executor(), serve(connection));
    if (!acceptor.is_open())
        closeIfIdle(connection);
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
    connection->isIdle = true;
    connection->stream.expires_after(limits.idleTimeout);
    const auto [failure, bytes] = co_await connection->stream.async_read_some(
        connection->buffer.prepare(readBytes), asTuple);
    connection->isIdle = false;
    if (!failure) {
        connection->buffer.commit(bytes);
        co_return true;
    }
    if (failure != asio::error::operation_aborted)
        co_return false;
    // Cancelled while idle; a request may have arrived at the same time.
    error_code state;
    tcp::socket &socket = connection->stream.socket();
    socket.non_blocking(true, state);
    const std::size_t count = socket.read_some(connection->buffer.prepare(readBytes), state);
    connection->buffer.commit(state ? 0 : count);
    co_return !state && count > 0;
}

Task<bool> HttpServer::Impl::serveOne(ConnectionPtr connection)
{
    RequestParser parser(maxHeaderBytes, limits.maxBodyBytes);
    if (connection->buffer.size() == 0 && !co_await awaitRequest(connection))
        co_return false;
    ++inProgress;
    connection->stream.expires_never();
    // The stream's own timeout would close the socket before the 408 response is sent.
    const auto hasTimedOut = std::make_shared<bool>(false);
    asio::steady_timer timer(connection->stream.get_executor(), limits.requestTimeout);
    timer.async_wait([connection, hasTimedOut](const error_code &stopped) {
        if (stopped)
            return;
        *hasTimedOut = true;
        connection->stream.cancel();
    });
    connection->isReading = true;
    const auto [failure, bytes]
        = co_await http::async_read(connection->stream, connection->buffer, parser, asTuple);
    connection->isReading = false;
    timer.cancel();
    if (failure) {
        const bool isInterrupted
            = isEnding && !*hasTimedOut && failure == asio::error::operation_aborted;
        const auto errorResponse = isInterrupted
            ? std::optional(endResponse)
            : errorResponseFor(*hasTimedOut ? make_error_code(beast::error::timeout) : failure);
        if (errorResponse) {
            co_await write(connection, *errorResponse, false);
            co_await discardInput(connection);
        }
        --inProgress;
        co_return false;
    }
    const bool keepAlive = parser.request().keepAlive;
    HttpRequest request = toRequest(parser.release());
    request.isFirstOnConnection = std::exchange(connection->isFirstRequest, false);
    HttpResponse response = co_await runHandler(connection, std::move(request));
    if (connection->isEnded)
        co_return false;
    const bool staysOpen = keepAlive && !isEnding && !response.mustClose && mayContinue(connection);
    const bool isWritten = co_await write(connection, std::move(response), staysOpen);
    --inProgress;
    co_return isWritten &&staysOpen;
}

/// \brief Answers the request of \a connection in place of its handler, which can't be abandoned.
Task<void> HttpServer::Impl::endRequest(ConnectionPtr connection)
{
    const auto self = shared_from_this();
    co_await write(connection, endResponse, false);
    co_await discardInput(connection);
    --inProgress;
    close(connection);
}

/// \brief Discards the rest of a rejected request; closing with unread input would reset the
/// connection, and the caller could lose the response.
Task<void> HttpServer::Impl::discardInput(ConnectionPtr connection)
{
    error_code ignored;
    connection->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    connection->stream.expires_after(discardTimeout);
    std::vector<char> buffer(readBytes);
    bool isOpen = true;
    while (isOpen) {
        const auto [failure, bytes]
            = co_await connection->stream.async_read_some(asio::buffer(buffer), asTuple);
        isOpen = !failure;
    }
}

Task<HttpResponse> HttpServer::Impl::runHandler(ConnectionPtr connection, HttpRequest request)
{
    if (isEnding)
        co_return endResponse;
    const auto isDone = std::make_shared<std::atomic<bool>>(false);
    const CancelToken cancel = request.cancel;
    if (connection->buffer.size() == 0)
        spawn(connection->stream.get_executor(), watchForClose(connection, cancel, isDone));
    connection->isHandling = true;
    HttpResponse response = co_await handler(std::move(request));
    connection->isHandling = false;
    *isDone = true;
    if (!connection->isEnded && connection->stream.socket().is_open())
        connection->stream.socket().cancel();
    co_return response;
}

Task<void> HttpServer::Impl::watchForClose(ConnectionPtr connection, CancelToken cancel,
                                           std::shared_ptr<std::atomic<bool>> isDone)
{
    const auto [failure]
        = co_await connection->stream.socket().async_wait(tcp::socket::wait_read, asTuple);
    if (failure || *isDone)
        co_return;
    char probe = 0;
    error_code state;
    connection->stream.socket().non_blocking(true, state);
    const std::size_t count = connection->stream.socket().receive(asio::buffer(&probe, 1),
                                                                  tcp::socket::message_peek, state);
    const bool isDisconnected
        = (state && state != asio::error::would_block) || (!state && count == 0);
    if (isDisconnected)
        cancel.cancel();
}

Task<bool> HttpServer::Impl::write(ConnectionPtr connection, HttpResponse response, bool keepAlive)
{
    http::response<http::string_body> message;
    message.version(11);
    message.result(static_cast<unsigned>(response.status));
    for (const auto &[name, value] : response.headers)
        message.set(name, value);
    message.body() = std::move(response.body);
    message.keep_alive(keepAlive);
    message.prepare_payload();
    connection->stream.expires_after(limits.requestTimeout);
    if (filter) {
        std::ostringstream text;
        text << message;
        HttpWireBytes wire = filter(HttpWireBytes{text.str(), false});
        co_return co_await writeFiltered(connection, std::move(wire));
    }
    const auto [failure, bytes] = co_await http::async_write(connection->stream, message, asTuple);
    co_return !failure;
}

Task<bool> HttpServer::Impl::writeFiltered(ConnectionPtr connection, HttpWireBytes wire)
{
    const auto [failure, bytes]
        = co_await asio::async_write(connection->stream, asio::buffer(wire.bytes), asTuple);
    co_return !failure && !wire.mustClose;
}

HttpServer::HttpServer(Executor executor, HttpServerLimits limits, HttpHandler handler,
                       HttpWireFilter filter)
    : m_impl(
        std::make_shared<Impl>(std::move(executor), limits, std::move(handler), std::move(filter)))
{ }

HttpServer::~HttpServer()
{
    closeAll();
}

Outcome<Endpoint> HttpServer::listen(const Endpoint &local)
{
    tcp::acceptor &acceptor = m_impl->acceptor;
    Outcome<Endpoint> bound = openListener(acceptor, local);
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
        if (connection->isHandling) {
            connection->isEnded = true;
            spawn(connection->stream.get_executor(), impl->endRequest(connection));
        } else if (connection->isReading) {
            connection->stream.cancel();
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
