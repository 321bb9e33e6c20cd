#include "http/ClientConnection.h"

#include "http/StatusClass.h"

#include <boost/asio/write.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <charconv>

namespace gwt {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::size_t readBytes = 8192; ///< per read; most shard responses fit
constexpr std::size_t maxHeaderBytes = 32768;
/// Interim responses and responses to earlier requests that may precede the response. A server may
/// repeat an answer once or twice.
constexpr int maxSkippedResponses = 16;

// Detects a peer that vanished without a reset after about three seconds.
constexpr int keepAliveIdleSeconds = 1;
constexpr int keepAliveIntervalSeconds = 1;
constexpr int keepAliveProbes = 2;
constexpr int unacknowledgedMilliseconds = 3000;

void setProbing(asio::ip::tcp::socket &socket)
{
    // Without these options, the timeout of each exchange still applies.
    error_code ignored;
    const int handle = socket.native_handle();
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &keepAliveIdleSeconds, sizeof(int));
    ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &keepAliveIntervalSeconds, sizeof(int));
    ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &keepAliveProbes, sizeof(int));
    ::setsockopt(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledgedMilliseconds, sizeof(int));
}

/// \brief Parses the seconds of "timeout=N" in a Keep-Alive field.
std::optional<std::chrono::seconds> keepAliveTimeout(std::string_view field)
{
    constexpr std::string_view key = "timeout=";
    const auto position = field.find(key);
    if (position == std::string_view::npos)
        return std::nullopt;
    const char *first = field.data() + position + key.size();
    int seconds = 0;
    const auto [end, code] = std::from_chars(first, field.data() + field.size(), seconds);
    if (code != std::errc() || end == first)
        return std::nullopt;
    return std::chrono::seconds(seconds);
}

error_code lastError()
{
    return {errno, boost::system::system_category()};
}

/// \brief Opens \a socket and starts to connect it to \a endpoint.
///
/// Asio's own functions need several more system calls for each connection, which delays queries
/// that open one to each of many servers.
error_code startConnect(asio::ip::tcp::socket &socket, const asio::ip::tcp::endpoint &endpoint)
{
    const int handle
        = ::socket(endpoint.protocol().family(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (handle < 0)
        return lastError();
    const bool hasStarted
        = ::connect(handle, endpoint.data(), static_cast<socklen_t>(endpoint.size())) == 0
        || errno == EINPROGRESS;
    error_code failure = hasStarted ? error_code() : lastError();
    if (!failure)
        socket.assign(endpoint.protocol(), handle, failure);
    if (failure)
        ::close(handle);
    return failure;
}

/// \brief The pending error of \a socket, such as that of its connect.
error_code socketError(asio::ip::tcp::socket &socket)
{
    int error = 0;
    socklen_t size = sizeof(error);
    if (::getsockopt(socket.native_handle(), SOL_SOCKET, SO_ERROR, &error, &size) != 0)
        return lastError();
    return {error, boost::system::system_category()};
}

const char *connectFailure(const error_code &code)
{
    if (code == asio::error::operation_aborted)
        return "connect_timeout";
    return code == asio::error::connection_reset ? "connect_reset" : "connect_failed";
}

} // namespace

ClientConnection::ClientConnection(asio::io_context &context, TimerQueue &timers,
                                   std::size_t maxBodyBytes, Probing probing, ByteBudget *bodies)
    : m_socket(context)
    , m_timers(timers)
    , m_maxBodyBytes(maxBodyBytes)
    , m_probing(probing)
    , m_body(bodies)
    , m_lastUsed(Clock::now())
{ }

void ClientConnection::connect(const Endpoint &remote, Duration timeout, ConnectHandler handler)
{
    error_code failure;
    const auto address = asio::ip::make_address(remote.address, failure);
    if (failure) {
        handler(Error{ErrorCode::Unavailable, "connect_failed", "bad address " + remote.address});
        return;
    }
    m_connectTimer = m_timers.after(timeout, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->close();
    });
    auto onConnected
        = [self = shared_from_this(), handler = std::move(handler)](const error_code &code) {
              self->onConnected(code ? code : socketError(self->m_socket), handler);
          };
    const error_code started = startConnect(m_socket, {address, remote.port});
    if (started)
        asio::post(m_socket.get_executor(),
                   [onConnected = std::move(onConnected), started] { onConnected(started); });
    else
        m_socket.async_wait(asio::socket_base::wait_write, std::move(onConnected));
}

void ClientConnection::onConnected(const error_code &code, const ConnectHandler &handler)
{
    m_timers.cancel(m_connectTimer);
    if (code) {
        closeSocket();
        handler(Error{ErrorCode::Unavailable, connectFailure(code), code.message()});
        return;
    }
    if (m_probing == Probing::On)
        setProbing(m_socket);
    m_isOpen = true;
    m_lastUsed = Clock::now();
    // The handler may send a request, which goes out before the socket is watched for a reply.
    handler(Done{});
    if (m_isOpen)
        read();
}

void ClientConnection::resetParser()
{
    m_body.reset();
    m_parser.emplace();
    m_parser->eager(true);
    m_parser->header_limit(maxHeaderBytes);
    m_parser->body_limit(m_maxBodyBytes);
    m_parser->skip(m_isHead);
    m_isHeadExamined = false;
    m_isAccepted = true;
}

void ClientConnection::exchange(std::string request, bool isHead, HeadHandler onHead,
                                ResponseHandler handler)
{
    m_request = std::move(request);
    m_isHead = isHead;
    m_headHandler = std::move(onHead);
    m_handler = std::move(handler);
    m_skippedResponses = 0;
    resetParser();
    const ssize_t sent = ::send(m_socket.native_handle(), m_request.data(), m_request.size(),
                                MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent < 0 && errno != EAGAIN) {
        // The kernel accepted no byte of the request.
        asio::post(m_socket.get_executor(), [self = shared_from_this(), failure = lastError()] {
            self->fail({ErrorCode::Unavailable, "connection_lost", failure.message()});
        });
        return;
    }
    const std::size_t written = sent < 0 ? 0 : static_cast<std::size_t>(sent);
    if (written < m_request.size())
        writeRest(written);
    else
        releaseRequest();
}

/// \brief Frees the buffer of a request that has been written, which the connection would keep
/// until its next request.
void ClientConnection::releaseRequest()
{
    constexpr std::size_t keptBytes = 4096;
    if (m_request.capacity() > keptBytes)
        std::string().swap(m_request);
}

void ClientConnection::writeRest(std::size_t written)
{
    m_isWriting = true;
    asio::async_write(
        m_socket, asio::buffer(m_request.data() + written, m_request.size() - written),
        [self = shared_from_this()](const error_code &failure, std::size_t) {
            self->m_isWriting = false;
            if (failure)
                self->fail({ErrorCode::Unknown, "connection_lost", failure.message()});
            else
                self->releaseRequest();
        });
}

void ClientConnection::read()
{
    m_socket.async_read_some(
        m_buffer.prepare(readBytes),
        [self = shared_from_this()](const error_code &failure, std::size_t count) {
            self->onRead(failure, count);
        });
}

void ClientConnection::onRead(const error_code &failure, std::size_t count)
{
    if (!m_isOpen)
        return;
    if (failure == asio::error::eof && m_handler && m_parser->need_eof() && m_parser->got_some()) {
        // A body without a length is complete on an orderly close, but not on a reset.
        error_code incomplete;
        m_parser->put_eof(incomplete);
        if (!incomplete && m_parser->is_done() && m_isAccepted) {
            finish();
            return;
        }
    }
    if (failure) {
        fail({ErrorCode::Unknown, "connection_lost", failure.message()});
        return;
    }
    m_buffer.commit(count);
    if (!m_handler) {
        fail({ErrorCode::Malformed, "bytes_without_request", ""});
        return;
    }
    parse();
}

bool ClientConnection::parseBuffer()
{
    while (m_buffer.size() > 0 && !m_parser->is_done()) {
        error_code failure;
        m_buffer.consume(m_parser->put(m_buffer.data(), failure));
        if (failure == http::error::need_more)
            break;
        if (failure) {
            fail({ErrorCode::Malformed, "bad_reply", failure.message()});
            return false;
        }
    }
    // The parser accepts any three digits, but with 000 or 600 there is no response to pass on.
    if (m_parser->is_header_done() && !isValidStatus(m_parser->get().result_int())) {
        fail({ErrorCode::Malformed, "bad_reply", "invalid status"});
        return false;
    }
    examineHead();
    const std::size_t bodyBytes = m_parser->get().body().size();
    if (bodyBytes > s_freeBodyBytes && !m_body.tryGrowTo(bodyBytes)) {
        fail({ErrorCode::Malformed, "bad_reply", "no memory for the body"});
        return false;
    }
    // The parser limits the header and the body, but not chunk headers and trailers.
    if (!m_parser->is_done() && m_buffer.size() > maxHeaderBytes) {
        fail({ErrorCode::Malformed, "bad_reply", "chunk header or trailer too long"});
        return false;
    }
    return true;
}

void ClientConnection::examineHead()
{
    if (m_isHeadExamined || !m_parser->is_header_done())
        return;
    m_isHeadExamined = true;
    if (!isInterim() && m_headHandler)
        m_isAccepted = m_headHandler(m_parser->get());
}

bool ClientConnection::isInterim() const
{
    return statusClassOf(m_parser->get().result_int()) == StatusClass::Informational;
}

bool ClientConnection::isSkipped() const
{
    return isInterim() || (!m_parser->need_eof() && !m_isAccepted);
}

void ClientConnection::parse()
{
    for (;;) {
        if (!parseBuffer())
            return;
        if (!m_parser->is_done()) {
            read();
            return;
        }
        if (!isSkipped())
            break;
        if (++m_skippedResponses > maxSkippedResponses) {
            fail({ErrorCode::Malformed, "bad_reply", "too many other responses"});
            return;
        }
        resetParser();
    }
    finish();
}

void ClientConnection::finish()
{
    WireResponse response = m_parser->release();
    m_parser.reset();
    m_body.reset();
    m_lastUsed = Clock::now();
    m_hasReceivedResponse = true;
    const ResponseHandler handler = std::exchange(m_handler, nullptr);
    m_headHandler = nullptr;
    recordKeepAlive(response);
    // Surplus bytes, or a request not yet fully sent, would mix up the next exchange.
    const bool canReuse = m_buffer.size() == 0 && !m_isWriting;
    if (!canReuse || !response.keep_alive() || response.need_eof())
        closeSocket();
    else
        read();
    handler(std::move(response));
}

void ClientConnection::recordKeepAlive(const WireResponse &response)
{
    const auto field = response.find(http::field::keep_alive);
    if (field == response.end())
        return;
    const auto timeout = keepAliveTimeout({field->value().data(), field->value().size()});
    if (timeout)
        m_keepAliveExpiry = m_lastUsed + *timeout;
}

void ClientConnection::fail(const Error &error)
{
    const auto self = shared_from_this();
    const ResponseHandler handler = std::exchange(m_handler, nullptr);
    m_headHandler = nullptr;
    const bool wasOpen = m_isOpen;
    closeSocket();
    if (handler)
        handler(error);
    else if (wasOpen && m_closeHandler)
        m_closeHandler();
}

void ClientConnection::close()
{
    m_handler = nullptr;
    m_headHandler = nullptr;
    closeSocket();
}

void ClientConnection::closeSocket()
{
    m_isOpen = false;
    m_parser.reset();
    m_body.reset();
    error_code ignored;
    m_socket.close(ignored);
}

} // namespace gwt
