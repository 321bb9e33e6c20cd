#pragma once

#include "common/Metrics.h"
#include "common/TimerQueue.h"
#include "gateway/callers/CallerExchange.h"
#include "gateway/forwarding/HeaderNames.h"
#include "gateway/policy/TransferTimeout.h"
#include "gateway/routing/Route.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <memory>
#include <optional>

namespace gwt {

/// \brief What all connections of callers share; outlives them.
struct CallerContext
{
    TimerQueue &timers;
    RequestHandler &handler;
    Metrics &metrics;
    const RequestLimits &limits; ///< in force for requests that begin now
    const HeaderNames &names;
    bool isDraining = false; ///< each answer ends its connection
};

/// \brief One connection of a caller: reads a request, waits for its answer, reads the next.
///
/// A read is always pending, so that a caller that leaves is noticed at once.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    CallerConnection(boost::asio::ip::tcp::socket socket, CallerContext &context);

    void start();
    /// \brief Closes the connection unless a request is being read or answered.
    void closeIfIdle();
    bool isOpen() const { return m_isOpen; }
    bool isBusy() const { return m_current != nullptr || m_isWriting; }

private:
    class Exchange;
    friend class Exchange;

    void beginRequest();
    void read();
    void onRead(const boost::system::error_code &failure, std::size_t count);
    void parse();
    void armTimeout(TimePoint at);
    void armTransferTimeout(std::size_t bytes);
    void onTimeout();
    void endBadRequest(unsigned status, const std::string &reason, const std::string &problem);
    void reject(const boost::system::error_code &failure);
    void dispatch();
    void write(const CallerResponse &response, bool isHead, bool keepAlive);
    void writeMore(bool keepAlive);
    void onWritten(bool keepAlive);
    void callerGone();
    void close();
    Duration measureRoundTrip();

    boost::asio::ip::tcp::socket m_socket;
    CallerContext &m_context;
    boost::beast::flat_buffer m_buffer;
    std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> m_parser;
    std::shared_ptr<Exchange> m_current; ///< the request that waits for its answer
    TimerQueue::Id m_timeout;
    TimePoint m_arrivedAt;
    std::optional<Duration> m_roundTrip; ///< to the caller; measured with the first request
    std::optional<TransferTimeout>
        m_transferTimeout; ///< of the body that is read, or the answer written
    std::string m_answeredId; ///< of the request whose answer is written
    std::string m_output;
    std::size_t m_written = 0; ///< bytes of m_output
    bool m_isOpen = true;
    bool m_isReading = false;
    bool m_isWriting = false;
    bool m_hasBegun = false; ///< bytes of the next request are in
};

} // namespace gwt
