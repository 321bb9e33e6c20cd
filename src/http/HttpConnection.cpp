#include "http/HttpConnection.h"

#include "common/LowerCase.h"
#include "common/Timer.h"
#include "http/ParserLimits.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <sys/socket.h>

#include <atomic>

namespace gwt {

namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

namespace {

constexpr std::size_t maxReplyBytes = 8U << 20U;

constexpr std::size_t discardBytes = 4096;
constexpr Milliseconds cancelInterval{1};

Error exchangeError(const error_code &failure)
{
    if (failure == http::error::body_limit)
        return {ErrorCode::Malformed, "reply_too_large", ""};
    const bool isParseFault
        = failure.category() == http::make_error_code(http::error::bad_version).category()
        && failure != http::error::end_of_stream && failure != http::error::partial_message;
    if (isParseFault)
        return {ErrorCode::Malformed, "bad_reply", failure.message()};
    return {ErrorCode::Unknown, "connection_lost", failure.message()};
}

} // namespace

struct HttpConnection::Impl : std::enable_shared_from_this<HttpConnection::Impl>
{
    Impl(const Executor &ownStrand, Endpoint endpoint)
        : strand(ownStrand)
        , remote(std::move(endpoint))
        , stream(ownStrand)
        , cancelTimer(ownStrand)
    { }

    Task<Outcome<Done>> connect(TimePoint deadline);
    Task<Outcome<HttpResponse>> exchange(std::uint64_t number, HttpRequest request,
                                         TimePoint deadline, CancelToken cancel);
    Task<Outcome<HttpResponse>> run(HttpRequest request);
    Task<void> close(Duration grace);
    /// \brief Aborts exchange \a number with \a cause, unless it has ended.
    void abortExchange(std::uint64_t number, const Error &cause)
    {
        if (number != currentExchange || abortCause)
            return;
        abortCause = cause;
        cancelRepeatedly(number);
    }
    /// \brief Cancels the pending operations of exchange \a number repeatedly until it has ended,
    /// because an operation that has just completed can start another.
    void cancelRepeatedly(std::uint64_t number)
    {
        if (number != currentExchange)
            return;
        stream.cancel();
        cancelTimer.expires_after(cancelInterval);
        cancelTimer.async_wait([weak = weak_from_this(), number](const error_code &stopped) {
            const auto self = weak.lock();
            if (self && !stopped)
                self->cancelRepeatedly(number);
        });
    }
    bool hasNoPendingInput()
    {
        char probe = 0;
        const auto count
            = ::recv(stream.socket().native_handle(), &probe, 1, MSG_PEEK | MSG_DONTWAIT);
        return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    }
    void close()
    {
        reusable = false;
        error_code ignored;
        stream.socket().close(ignored);
    }

    Executor strand;
    Endpoint remote;
    beast::tcp_stream stream;
    asio::steady_timer cancelTimer;
    beast::flat_buffer buffer{maxUnparsedBytes};
    std::atomic<bool> reusable = false;
    std::atomic<TimePoint> lastUsed = TimePoint{};
    std::atomic<std::uint64_t> exchangeCount = 0; ///< started so far; numbers the exchanges
    std::uint64_t currentExchange = 0; ///< exchange in progress; 0 if none
    std::optional<Error> abortCause; ///< why the exchange in progress was aborted
};

Task<Outcome<Done>> HttpConnection::Impl::connect(TimePoint deadline)
{
    error_code failure;
    const auto address = asio::ip::make_address(remote.address, failure);
    if (failure)
        co_return Error{ErrorCode::InvalidArgument, "bad_endpoint", remote.address};
    stream.expires_after(timeLeft(deadline, Clock::now()));
    const auto [code]
        = co_await stream.async_connect(asio::ip::tcp::endpoint(address, remote.port), asTuple);
    if (code) {
        close();
        co_return Error{ErrorCode::Unavailable, "connect_failed",
                        toString(remote) + ": " + code.message()};
    }
    stream.socket().set_option(asio::ip::tcp::no_delay(true), failure);
    reusable = true;
    lastUsed = Clock::now();
    co_return Done{};
}

Task<Outcome<HttpResponse>> HttpConnection::Impl::exchange(std::uint64_t number,
                                                           HttpRequest request, TimePoint deadline,
                                                           CancelToken cancel)
{
    // An earlier cancel found no exchange in progress to abort.
    if (cancel.isCancelled())
        co_return Error{ErrorCode::Cancelled, "cancelled", ""};
    currentExchange = number;
    abortCause.reset();
    stream.expires_never();
    Timer timer(strand, deadline);
    timer.async_wait([weak = weak_from_this(), number](const error_code &stopped) {
        const auto self = weak.lock();
        if (self && !stopped)
            self->abortExchange(number, Error{ErrorCode::Timeout, "deadline", ""});
    });
    Outcome<HttpResponse> response = co_await run(std::move(request));
    timer.cancel();
    cancelTimer.cancel();
    currentExchange = 0;
    if (abortCause) {
        reusable = false;
        co_return *abortCause;
    }
    if (!isOk(response))
        close();
    co_return response;
}

Task<Outcome<HttpResponse>> HttpConnection::Impl::run(HttpRequest request)
{
    http::request<http::string_body> message;
    message.method_string(request.method);
    message.target(request.target);
    message.version(11);
    message.set(http::field::host, toString(remote));
    for (const auto &[name, value] : request.headers)
        message.set(name, value);
    message.body() = std::move(request.body);
    message.prepare_payload();

    const auto [writeFailure, written] = co_await http::async_write(stream, message, asTuple);
    if (writeFailure)
        co_return exchangeError(writeFailure);
    http::response_parser<http::string_body> parser;
    parser.body_limit(maxReplyBytes);
    const auto [readFailure, read] = co_await http::async_read(stream, buffer, parser, asTuple);
    if (readFailure)
        co_return exchangeError(readFailure);
    HttpResponse response;
    auto reply = parser.release();
    response.status = reply.result_int();
    for (const auto &field : reply)
        response.headers[lowerCase(field.name_string())] = std::string(field.value());
    response.body = std::move(reply.body());
    lastUsed = Clock::now();
    const bool hasSurplus = buffer.size() > 0;
    if (!reply.keep_alive() || hasSurplus)
        close();
    co_return response;
}

Task<void> HttpConnection::Impl::close(Duration grace)
{
    reusable = false;
    error_code failure;
    stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, failure);
    stream.expires_after(grace);
    std::array<char, discardBytes> discarded{};
    while (!failure) {
        const auto [ended, bytes]
            = co_await stream.async_read_some(asio::buffer(discarded), asTuple);
        failure = ended;
    }
    close();
}

HttpConnection::HttpConnection(const Executor &strand, Endpoint remote)
    : m_impl(std::make_shared<Impl>(strand, std::move(remote)))
{ }

HttpConnection::~HttpConnection()
{
    asio::post(m_impl->strand, [impl = m_impl] { impl->close(); });
}

Task<Outcome<Done>> HttpConnection::connect(TimePoint deadline)
{
    const auto impl = m_impl;
    co_return co_await asio::co_spawn(impl->strand, impl->connect(deadline), asio::use_awaitable);
}

Task<Outcome<HttpResponse>> HttpConnection::exchange(HttpRequest request, TimePoint deadline,
                                                     CancelToken cancel)
{
    const auto impl = m_impl;
    const std::uint64_t number = ++impl->exchangeCount;
    const auto registration = cancel.onCancel([weak = std::weak_ptr<Impl>(impl), number] {
        const auto target = weak.lock();
        if (!target)
            return;
        asio::post(target->strand, [target, number] {
            target->abortExchange(number, Error{ErrorCode::Cancelled, "cancelled", ""});
        });
    });
    co_return co_await asio::co_spawn(impl->strand,
                                      impl->exchange(number, std::move(request), deadline, cancel),
                                      asio::use_awaitable);
}

Task<void> HttpConnection::close(Duration grace)
{
    const auto impl = m_impl;
    co_await asio::co_spawn(impl->strand, impl->close(grace), asio::use_awaitable);
}

bool HttpConnection::isReusable() const
{
    return m_impl->reusable && m_impl->hasNoPendingInput();
}

TimePoint HttpConnection::lastUsed() const
{
    return m_impl->lastUsed;
}

} // namespace gwt
