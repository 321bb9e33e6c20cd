#pragma once

#include "common/Metrics.h"
#include "common/TimerQueue.h"
#include "gateway/callers/CallerExchange.h"
#include "gateway/callers/CallerMemory.h"
#include "gateway/callers/OpenRequest.h"
#include "gateway/forwarding/HeaderNames.h"
#include "gateway/policy/TransferTimeout.h"
#include "gateway/routing/Route.h"
#include "http/RequestStream.h"

#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <optional>
#include <vector>

namespace gwt {

/// \brief What all connections of one CallerServer share; outlives them.
struct CallerContext
{
    TimerQueue &timers;
    RequestHandler &handler;
    Metrics &metrics;
    const RequestLimits &limits; ///< read anew for each request
    const HeaderNames &headerNames;
    /// The response to the last request that has arrived closes its connection.
    bool isDraining = false;
    CallerMemory *memory = nullptr; ///< null: no limit on memory
    std::size_t maxConnections = 0; ///< open at the same time; 0: no limit
    int receiveBufferBytes = 0; ///< in the kernel, of each connection; 0: the system's default
};

/// \brief One connection of a caller, which handles its requests one after the other.
///
/// Each request is dispatched once and answered once, in the order of arrival. Input is read while
/// a request is handled, so that a caller that disconnects is detected at once; what is read waits,
/// up to a limit.
class CallerConnection : public MemoryHolder, public std::enable_shared_from_this<CallerConnection>
{
public:
    CallerConnection(boost::asio::ip::tcp::socket socket, CallerContext &context);

    void start();
    /// \brief Closes the connection unless a request is being read, handled or answered.
    void closeIfIdle();
    /// \brief Ends the request that is being received or handled with a response without a result.
    void endRequest();
    bool isOpen() const { return m_state != State::Closed; }
    /// \brief True while a request is being read, handled or answered, or has arrived unread, and
    /// for a short time after the connect, as the first request may be on its way.
    bool isBusy();
    /// \brief Appends the requests that a close would cut off to \a requests; those that have
    /// arrived behind another one count as one.
    void appendOpenRequests(std::vector<OpenRequest> &requests);

    /// \brief Order in which connections are closed to admit others: first those that have been
    /// answered, then idle ones, then those that send a request or read a response, each the one
    /// longest without progress first.
    std::pair<int, TimePoint> closePreference();
    /// \brief Closes the connection to admit another; false if its request is being handled.
    bool closeForAnother();

    std::string freeMemory() override;
    void resumeReading() override;
    void updateMemory() override;

private:
    class Exchange;
    friend class Exchange;
    enum class State {
        Receiving, ///< waits for a request or reads it
        Handling, ///< m_currentExchange isn't null
        Responding, ///< the response is being written, or the next request not yet begun
        Lingering, ///< the last response is written; what the caller still sends is discarded
        Closed
    };

    /// Buffers up to this size are kept for the next request of the connection.
    static constexpr std::size_t s_keptBufferBytes = 4096;

    bool hasUnreadBytes();
    bool isNew() const;
    /// \brief False if the next response closes the connection.
    bool mayContinue();
    void awaitRequest();
    void read();
    void onReadable();
    void receive();
    void armTimeout(TimePoint at);
    void armTransferTimeout(std::size_t bytes);
    void onTimeout();
    void onIdleTimeout();
    void rejectRequest(const CallerResponse &response, const std::string &reason,
                       const std::string &problem);
    void rejectMalformed(const boost::system::error_code &failure);
    void dispatch();
    void write(const CallerResponse &response, bool isHead, bool keepAlive);
    void continueWrite(bool keepAlive);
    void onWritten(bool keepAlive);
    void linger();
    void handleDisconnect();
    void close();
    Duration measureRoundTrip();
    bool isAdmitted();
    /// \brief Stops reading until the next check of the account, or the next request.
    void pauseReading();
    void recordProgress();
    std::size_t unreadBytes();
    /// \brief Bytes that the request that has been received will occupy while it is forwarded.
    std::size_t forwardedBytes() const;
    /// \brief Refuses the request that has been received whole, for lack of memory.
    void refuseForMemory();

    boost::asio::ip::tcp::socket m_socket;
    CallerContext &m_context;
    State m_state = State::Receiving;
    RequestStream m_requests;
    std::shared_ptr<Exchange> m_currentExchange; ///< the request being handled; else null
    TimerQueue::Id m_timeout;
    const TimePoint m_connectedAt = Clock::now();
    TimePoint m_idleSince; ///< when the connection began to wait for the next request
    TimePoint m_progressAt = m_connectedAt; ///< when bytes of a request or response last passed
    TimePoint m_arrivedAt;
    std::optional<Duration> m_roundTrip; ///< to the caller; measured at the first request
    std::optional<TransferTimeout> m_transferTimeout; ///< of a body read or a response written
    std::string m_responseRequestId; ///< id of the request whose response is written
    std::string m_output;
    std::size_t m_written = 0; ///< bytes of m_output that have been sent
    MemoryBudget::Id m_memoryId = 0;
    std::size_t m_exchangeBytes = 0; ///< held for the request being handled
    bool m_isReading = false;
    bool m_isPaused = false; ///< reads nothing for now, so that unread bytes are accounted for
    bool m_isListedAsPaused = false; ///< CallerMemory is going to call resumeReading()
    bool m_isHalfClosed = false; ///< the caller has closed its side while a response was written
    bool m_hasRequestBytes = false; ///< bytes of the next request have arrived
};

} // namespace gwt
