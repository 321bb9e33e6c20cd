#pragma once

#include "common/Metrics.h"
#include "common/TimerQueue.h"
#include "gateway/callers/CallerExchange.h"
#include "gateway/callers/OpenRequest.h"
#include "gateway/callers/RequestStream.h"
#include "gateway/forwarding/HeaderNames.h"
#include "gateway/policy/TransferTimeout.h"
#include "gateway/routing/Route.h"

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
};

/// \brief One connection of a caller, which handles its requests one after the other.
///
/// Each request is dispatched once and answered once, in the order of arrival. Input is read while
/// a request is handled, so that a caller that disconnects is detected at once; what is read waits,
/// up to a limit.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
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

    boost::asio::ip::tcp::socket m_socket;
    CallerContext &m_context;
    State m_state = State::Receiving;
    RequestStream m_requests;
    std::shared_ptr<Exchange> m_currentExchange; ///< the request being handled; else null
    TimerQueue::Id m_timeout;
    const TimePoint m_connectedAt = Clock::now();
    TimePoint m_idleSince; ///< when the connection began to wait for the next request
    TimePoint m_arrivedAt;
    std::optional<Duration> m_roundTrip; ///< to the caller; measured at the first request
    std::optional<TransferTimeout> m_transferTimeout; ///< of a body read or a response written
    std::string m_responseRequestId; ///< id of the request whose response is written
    std::string m_output;
    std::size_t m_written = 0; ///< bytes of m_output that have been sent
    bool m_isReading = false;
    bool m_isHalfClosed = false; ///< the caller has closed its side while a response was written
    bool m_hasRequestBytes = false; ///< bytes of the next request have arrived
};

} // namespace gwt
