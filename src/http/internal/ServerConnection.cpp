#include "http/internal/ServerConnection.h"

#include "common/Sleep.h"
#include "http/CallerSocket.h"

#include <array>

namespace gwt {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t readBytes = 16384;
constexpr std::size_t discardBytes = 4096; ///< per read
constexpr Milliseconds discardTimeout{500}; ///< to read the rest of a rejected request
/// Buffers up to this size are kept for the next request of the connection.
constexpr std::size_t keptBufferBytes = 4096;

} // namespace

ServerConnection::ServerConnection(tcp::socket socket, const RequestSizeLimits &limits,
                                   ServerMemory *memory)
    : stream(std::move(socket))
    , requests(limits)
    , m_memory(memory)
{
    configureCallerSocket(stream.socket());
}

ServerConnection::~ServerConnection()
{
    if (m_memory && m_memoryId != 0)
        m_memory->remove(m_memoryId);
}

void ServerConnection::start()
{
    if (!m_memory)
        return;
    m_memoryId = m_memory->add([weak = weak_from_this(), executor = stream.get_executor()] {
        asio::post(executor, [weak] {
            if (const auto self = weak.lock())
                self->freeMemory();
        });
    });
}

void ServerConnection::hold(std::size_t bytes, MemoryUse use)
{
    m_progressAt = Clock::now();
    if (!m_memory)
        return;
    m_memory->recordProgress(m_memoryId);
    m_memory->setBytes(m_memoryId, bytes, use);
}

error_code ServerConnection::receiveArrived()
{
    std::array<char, readBytes> bytes;
    error_code failure;
    const std::size_t count = stream.socket().read_some(asio::buffer(bytes), failure);
    requests.append(bytes.data(), count);
    return failure;
}

Task<error_code> ServerConnection::receive()
{
    error_code failure = asio::error::would_block;
    while (failure == asio::error::would_block) {
        const auto [waitFailure]
            = co_await stream.socket().async_wait(tcp::socket::wait_read, asTuple);
        failure = waitFailure ? waitFailure : receiveArrived();
    }
    co_return failure;
}

Task<error_code> ServerConnection::receiveRequest()
{
    m_endCause = {};
    error_code failure;
    while (!failure && !m_endCause) {
        requests.skipEmptyLines();
        const RequestStream::Status status = requests.parse();
        if (status == RequestStream::Status::Complete)
            co_return error_code{};
        if (status == RequestStream::Status::Malformed)
            co_return requests.failure();
        hold(requests.heldBytes(), MemoryUse::Exchange);
        while (!m_endCause && m_memory && !m_memory->mayRead(m_memoryId, requests.expectedBytes()))
            co_await sleepFor(MemoryBudget::s_checkInterval);
        if (!m_endCause)
            failure = co_await receive();
    }
    co_return m_endCause ? m_endCause : failure;
}

void ServerConnection::endReceiving(const error_code &cause)
{
    m_endCause = cause;
    requests.clear();
    releaseRequest();
    stream.cancel();
}

bool ServerConnection::admitRequest(std::size_t copies)
{
    const std::size_t bytes = copies * requests.requestBytes() + requests.waitingBytes();
    if (m_memory && !m_memory->admit(m_memoryId, bytes)) {
        m_memory->recordRefusal("whole", requests.heldBytes());
        requests.clear();
        releaseRequest();
        return false;
    }
    hold(bytes, MemoryUse::Running);
    return true;
}

void ServerConnection::holdResponse(std::size_t bytes)
{
    hold(requests.heldBytes() + bytes, MemoryUse::Exchange);
}

void ServerConnection::releaseRequest()
{
    requests.shrink(keptBufferBytes);
    hold(requests.heldBytes(), MemoryUse::Exchange);
}

Task<void> ServerConnection::discardInput()
{
    error_code ignored;
    stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    stream.expires_after(discardTimeout);
    std::vector<char> buffer(discardBytes);
    bool isOpen = true;
    while (isOpen) {
        const auto [failure, bytes]
            = co_await stream.async_read_some(asio::buffer(buffer), asTuple);
        isOpen = !failure;
    }
}

Task<void> ServerConnection::watchForClose(std::shared_ptr<ServerConnection> connection,
                                           CancelToken cancel,
                                           std::shared_ptr<std::atomic<bool>> isDone)
{
    const auto [failure]
        = co_await connection->stream.socket().async_wait(tcp::socket::wait_read, asTuple);
    if (failure || *isDone)
        co_return;
    char probe = 0;
    error_code state;
    const std::size_t count = connection->stream.socket().receive(asio::buffer(&probe, 1),
                                                                  tcp::socket::message_peek, state);
    const bool isDisconnected
        = (state && state != asio::error::would_block) || (!state && count == 0);
    if (isDisconnected)
        cancel.cancel();
}

void ServerConnection::freeMemory()
{
    error_code ignored;
    switch (phase()) {
    case Phase::Reading:
        m_memory->recordRefusal("receiving", requests.heldBytes());
        endReceiving(make_error_code(boost::system::errc::not_enough_memory));
        return;
    case Phase::Writing:
        m_memory->recordRefusal("responding", 0);
        stream.socket().close(ignored);
        return;
    case Phase::Idle:
    case Phase::Handling:
        return;
    }
}

void ServerConnection::drop()
{
    error_code ignored;
    if (phase() == Phase::Handling)
        isDropped = false;
    else
        stream.socket().close(ignored);
}

} // namespace gwt
