#include "gateway/callers/CallerConnection.h"

#include "common/Log.h"
#include "gateway/callers/ConnectionExchange.h"
#include "gateway/forwarding/Refusal.h"
#include "http/CallerSocket.h"

#include <array>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace gwt {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

/// Limit on buffered bytes of pipelined requests while one is being handled.
constexpr std::size_t maxPipelinedBytes = 65536;
/// The same while memory is short: one read, so that a disconnect is still detected.
constexpr std::size_t fewPipelinedBytes = 4096;
/// From the connect to the first byte of a request, for a stopping process.
constexpr Milliseconds firstRequestTime{200};
constexpr std::string_view continueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

} // namespace

CallerConnection::CallerConnection(asio::ip::tcp::socket socket, CallerContext &context)
    : m_socket(std::move(socket))
    , m_context(context)
    , m_requests(context.limits)
{ }

void CallerConnection::start()
{
    configureCallerSocket(m_socket);
    if (m_context.memory)
        m_memoryId = m_context.memory->add(weak_from_this());
    awaitRequest();
}

void CallerConnection::awaitRequest()
{
    m_state = State::Receiving;
    m_isPaused = false;
    m_hasRequestBytes = false;
    m_transferTimeout.reset();
    m_requests.shrink(s_keptBufferBytes);
    updateMemory();
    m_idleSince = Clock::now();
    armTimeout(m_idleSince + m_context.limits.idleTimeout);
    receive();
}

void CallerConnection::armTimeout(TimePoint at)
{
    m_context.timers.cancel(m_timeout);
    const std::weak_ptr<CallerConnection> weak = weak_from_this();
    m_timeout = m_context.timers.at(at, [weak] {
        if (const auto self = weak.lock())
            self->onTimeout();
    });
}

void CallerConnection::armTransferTimeout(std::size_t bytes)
{
    const TimePoint now = Clock::now();
    if (!m_transferTimeout)
        m_transferTimeout.emplace(m_context.limits.idleTimeout, now);
    m_transferTimeout->record(bytes, now);
    armTimeout(m_transferTimeout->expiry());
}

void CallerConnection::read()
{
    if (m_isReading || m_isPaused || m_state == State::Closed)
        return;
    const bool isBetweenRequests = m_state == State::Handling || m_state == State::Responding;
    const bool isShort = m_context.memory && m_context.memory->isUnderPressure();
    if (isBetweenRequests
        && m_requests.waitingBytes() >= (isShort ? fewPipelinedBytes : maxPipelinedBytes)) {
        pauseReading();
        return;
    }
    if (m_state == State::Receiving && isShort
        && !m_context.memory->mayRead(m_memoryId, m_requests.expectedBytes())) {
        pauseReading();
        return;
    }
    m_isReading = true;
    // Bytes stay in the socket until they are handled, where hasUnreadBytes() sees them.
    m_socket.async_wait(asio::ip::tcp::socket::wait_read,
                        [self = shared_from_this()](const error_code &) { self->onReadable(); });
}

void CallerConnection::onReadable()
{
    m_isReading = false;
    if (m_state == State::Closed)
        return;
    std::array<char, MemoryBudget::s_smallBytes> bytes;
    // What is read behind a request is not wanted yet; it only shows that the caller is there.
    const std::size_t wanted = m_state == State::Receiving ? bytes.size() : fewPipelinedBytes;
    error_code failure;
    const std::size_t count = m_socket.read_some(asio::buffer(bytes.data(), wanted), failure);
    if (failure == asio::error::would_block) {
        read();
        return;
    }
    if (failure == asio::error::eof && m_state == State::Responding) {
        m_isHalfClosed = true;
        return;
    }
    if (failure) {
        handleDisconnect();
        return;
    }
    if (m_state != State::Lingering)
        m_requests.append(bytes.data(), count);
    if (m_state == State::Receiving) {
        recordProgress();
        receive();
        return;
    }
    updateMemory();
    read();
}

void CallerConnection::receive()
{
    m_requests.skipEmptyLines();
    const std::size_t waiting = m_requests.waitingBytes();
    if (waiting > 0 && !m_hasRequestBytes) {
        m_hasRequestBytes = true;
        m_arrivedAt = Clock::now();
        armTimeout(m_arrivedAt + m_context.limits.headerTimeout);
    }
    const RequestStream::Status status = m_requests.parse();
    if (status == RequestStream::Status::Malformed) {
        rejectMalformed(m_requests.failure());
        return;
    }
    if (status == RequestStream::Status::Complete) {
        if (isAdmitted())
            dispatch();
        else
            refuseForMemory();
        return;
    }
    updateMemory();
    error_code ignored;
    if (m_requests.takeContinueExpectation())
        m_socket.send(asio::buffer(continueResponse), 0, ignored);
    if (m_requests.isHeaderDone()) // a body may be long, but must not stall
        armTransferTimeout(waiting - m_requests.waitingBytes());
    read();
}

void CallerConnection::onTimeout()
{
    switch (m_state) {
    case State::Handling:
    case State::Closed:
        return;
    case State::Responding:
        m_context.metrics
            .counter("gwt_gateway_callers_stalled_total",
                     "Connections closed because the caller took too little of its answer")
            .Increment();
        logInfo("caller_stalled",
                {{"id", m_responseRequestId}, {"written", m_written}, {"bytes", m_output.size()}});
        close();
        return;
    case State::Lingering:
        close();
        return;
    case State::Receiving:
        break;
    }
    if (!m_hasRequestBytes) {
        onIdleTimeout();
        return;
    }
    const std::string reason = m_requests.isHeaderDone() ? "body_timeout" : "header_timeout";
    rejectRequest({408, {}, ""}, reason, reason);
}

void CallerConnection::onIdleTimeout()
{
    if (hasUnreadBytes())
        return;
    // The limit may have been raised meanwhile, and callers count on the one in force.
    const TimePoint expiry = m_idleSince + m_context.limits.idleTimeout;
    if (Clock::now() < expiry && !m_context.isDraining)
        armTimeout(expiry);
    else
        close();
}

void CallerConnection::rejectRequest(const CallerResponse &response, const std::string &reason,
                                     const std::string &problem)
{
    m_context.metrics
        .counter("gwt_gateway_bad_requests_total", "Requests that could not be read",
                 {{"reason", reason}})
        .Increment();
    const std::string id = m_requests.field(m_context.headerNames.requestId);
    logInfo("bad_request", {{"id", id}, {"status", response.status}, {"problem", problem}});
    write(response, false, false);
}

void CallerConnection::rejectMalformed(const error_code &failure)
{
    const unsigned status = RequestStream::statusFor(failure);
    const bool isBeyondLimit = status != 400;
    if (isBeyondLimit && !m_context.limits.isInForce) {
        // The configuration may allow this request; a caller doesn't repeat it after 413 or 431.
        const std::string reason = "no_configuration";
        rejectRequest(makeRefusal(503, reason, startupRetryAfter), reason, failure.message());
        return;
    }
    rejectRequest({status, {}, ""}, std::to_string(status), failure.message());
}

void CallerConnection::dispatch()
{
    m_context.timers.cancel(m_timeout);
    const bool isFirst = !m_roundTrip;
    if (isFirst)
        m_roundTrip = measureRoundTrip();
    m_state = State::Handling;
    m_exchangeBytes = forwardedBytes();
    m_currentExchange
        = std::make_shared<Exchange>(shared_from_this(), m_requests.take(), m_arrivedAt,
                                     isFirst ? 2 * *m_roundTrip : *m_roundTrip);
    recordProgress();
    updateMemory();
    read();
    const auto exchange = m_currentExchange;
    m_context.handler.handle(exchange);
}

bool CallerConnection::mayContinue()
{
    if (!m_context.isDraining)
        return true;
    // Requests that have arrived already are answered before the connection is closed.
    m_requests.skipEmptyLines();
    return m_requests.waitingBytes() > 0 || hasUnreadBytes();
}

void CallerConnection::write(const CallerResponse &response, bool isHead, bool keepAlive)
{
    m_responseRequestId = m_currentExchange
        ? m_currentExchange->request().field(m_context.headerNames.requestId)
        : "";
    m_currentExchange.reset();
    m_exchangeBytes = 0;
    m_state = State::Responding;
    m_output = toWire(response, isHead, keepAlive);
    m_written = 0;
    m_transferTimeout.reset();
    continueWrite(keepAlive);
}

void CallerConnection::continueWrite(bool keepAlive)
{
    error_code failure;
    const std::size_t count = m_socket.send(
        asio::buffer(m_output.data() + m_written, m_output.size() - m_written), 0, failure);
    if (failure && failure != asio::error::would_block) {
        close();
        return;
    }
    m_written += count;
    if (m_written == m_output.size()) {
        m_context.timers.cancel(m_timeout);
        onWritten(keepAlive);
        return;
    }
    armTransferTimeout(count);
    if (count > 0)
        recordProgress();
    updateMemory();
    m_socket.async_wait(asio::ip::tcp::socket::wait_write,
                        [self = shared_from_this(), keepAlive](const error_code &code) {
                            if (self->m_state == State::Closed)
                                return;
                            if (code)
                                self->close();
                            else
                                self->continueWrite(keepAlive);
                        });
}

void CallerConnection::onWritten(bool keepAlive)
{
    // Assigning an empty string would keep the buffer.
    if (m_output.capacity() > s_keptBufferBytes)
        std::string().swap(m_output);
    m_written = 0;
    if (m_isHalfClosed && m_requests.waitingBytes() == 0) {
        close();
        return;
    }
    if (!keepAlive) {
        linger();
        return;
    }
    // Posted, so that a pipelined request isn't handled inside respond() of the one before.
    asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        if (self->m_state == State::Responding)
            self->awaitRequest();
    });
}

void CallerConnection::linger()
{
    // Closing with unread bytes would reset the connection, and the caller could lose the response:
    // keep reading until the caller closes, for a second at most.
    m_state = State::Lingering;
    m_isPaused = false;
    m_requests.clear();
    updateMemory();
    error_code ignored;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    armTimeout(Clock::now() + std::chrono::seconds(1));
    read();
}

void CallerConnection::closeIfIdle()
{
    if (!isBusy())
        close();
    else if (isNew())
        armTimeout(m_connectedAt + firstRequestTime);
}

void CallerConnection::endRequest()
{
    if (m_state == State::Handling) {
        const auto exchange = m_currentExchange;
        exchange->notifyEnd("stopping");
    } else if (m_state == State::Receiving && m_hasRequestBytes) {
        logInfo("request_ended", {{"id", m_requests.field(m_context.headerNames.requestId)}});
        m_context.metrics
            .counter("gwt_gateway_requests_ended_total",
                     "Requests refused by a stopping process before they had arrived whole")
            .Increment();
        write({503, {}, ""}, false, false);
    }
}

bool CallerConnection::isNew() const
{
    return m_state == State::Receiving && !m_hasRequestBytes && !m_roundTrip
        && Clock::now() < m_connectedAt + firstRequestTime;
}

bool CallerConnection::isBusy()
{
    return m_state != State::Receiving || m_hasRequestBytes || isNew() || hasUnreadBytes();
}

void CallerConnection::appendOpenRequests(std::vector<OpenRequest> &requests)
{
    if (m_state == State::Lingering || m_state == State::Closed)
        return;
    const Duration age = Clock::now() - m_arrivedAt;
    const bool isReceiving = m_state == State::Receiving && m_hasRequestBytes;
    if (m_state == State::Handling) {
        const std::string id(m_currentExchange->request().field(m_context.headerNames.requestId));
        requests.push_back({id, RequestStage::InFlight, age});
    } else if (m_state == State::Responding && m_written < m_output.size()) {
        requests.push_back({m_responseRequestId, RequestStage::Answering, age});
    } else if (isReceiving) {
        const std::string id = m_requests.field(m_context.headerNames.requestId);
        requests.push_back({id, RequestStage::Receiving, age});
    }
    if (!isReceiving && (m_requests.waitingBytes() > 0 || hasUnreadBytes()))
        requests.push_back({"", RequestStage::Receiving, Duration::zero()});
}

bool CallerConnection::hasUnreadBytes()
{
    char byte = 0;
    return ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

void CallerConnection::handleDisconnect()
{
    close();
    if (const auto current = std::exchange(m_currentExchange, nullptr))
        current->notifyDisconnect();
}

Duration CallerConnection::measureRoundTrip()
{
    tcp_info info{};
    socklen_t size = sizeof(info);
    if (::getsockopt(m_socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
        return Duration::zero();
    return Microseconds(info.tcpi_rtt);
}

void CallerConnection::close()
{
    if (m_context.memory)
        m_context.memory->remove(m_memoryId);
    m_state = State::Closed;
    m_context.timers.cancel(m_timeout);
    error_code ignored;
    m_socket.close(ignored);
}

} // namespace gwt
