#pragma once

#include "common/CancelToken.h"
#include "common/Task.h"
#include "common/Time.h"
#include "http/RequestStream.h"
#include "http/ServerMemory.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <atomic>
#include <memory>

namespace gwt {

/// \brief One connection of an HttpServer, and what it holds in the account of its process.
///
/// All members are used on the connection's strand, except phase(), progressAt() and isDropped.
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
    enum class Phase {
        Idle, ///< waits for the first byte of a request
        Reading, ///< a request has been read in part
        Handling, ///< a handler runs
        Writing ///< a response is being written
    };

    /// \brief \a memory may be null: no limit.
    ServerConnection(boost::asio::ip::tcp::socket socket, const RequestSizeLimits &limits,
                     ServerMemory *memory);
    ~ServerConnection();
    ServerConnection(const ServerConnection &) = delete;
    ServerConnection &operator=(const ServerConnection &) = delete;

    /// \brief Adds the connection to the account.
    void start();
    Phase phase() const { return m_phase; }
    /// \brief When the connection was opened or last transferred bytes.
    TimePoint progressAt() const { return m_progressAt; }
    void setPhase(Phase phase) { m_phase = phase; }

    /// \brief Waits until bytes have arrived and reads them. Errors: those of the socket.
    Task<boost::system::error_code> receive();
    /// \brief Reads bytes that have arrived, without waiting.
    boost::system::error_code receiveArrived();
    /// \brief Reads up to the end of the next request. Errors: those of the socket and of the
    /// parser, and the cause of endReceiving(); that is not_enough_memory if it was the account.
    Task<boost::system::error_code> receiveRequest();
    /// \brief Lets receiveRequest() return \a cause.
    void endReceiving(const boost::system::error_code &cause);
    /// \brief True if the request that was received may be handled, which needs \a copies of it.
    bool admitRequest(std::size_t copies);
    /// \brief Accounts for \a response, in place of the request.
    void holdResponse(std::size_t bytes);
    /// \brief Accounts for what is left after a response.
    void releaseRequest();
    /// \brief Discards the rest of a rejected request; closing with unread input would reset the
    /// connection, and the caller could lose the response.
    Task<void> discardInput();
    /// \brief Cancels \a cancel if the caller of \a connection closes it before \a isDone is set.
    static Task<void> watchForClose(std::shared_ptr<ServerConnection> connection,
                                    CancelToken cancel, std::shared_ptr<std::atomic<bool>> isDone);
    /// \brief Closes the connection to admit others, unless a handler runs.
    void drop();

    boost::beast::tcp_stream stream;
    RequestStream requests;
    std::atomic<bool> isDropped = false; ///< drop() is going to be called
    bool isEnded = false; ///< answered in place of the handler
    bool isFirstRequest = true; ///< no request has been read yet

private:
    void freeMemory();
    void hold(std::size_t bytes, MemoryUse use);

    ServerMemory *m_memory;
    ServerMemory::Id m_memoryId = 0;
    std::atomic<Phase> m_phase = Phase::Idle;
    std::atomic<TimePoint> m_progressAt = Clock::now();
    boost::system::error_code m_endCause; ///< of endReceiving(); cleared by receiveRequest()
};

} // namespace gwt
