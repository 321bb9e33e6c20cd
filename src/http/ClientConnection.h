#pragma once

#include "common/Endpoint.h"
#include "common/Outcome.h"
#include "common/TimerQueue.h"
#include "http/ByteBudget.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace gwt {

using WireResponse = boost::beast::http::response<boost::beast::http::string_body>;

/// \brief One HTTP/1.1 client connection, for a single-threaded event loop.
///
/// It carries one exchange at a time and always has a read pending. This detects unsolicited bytes
/// and a close by the server while the connection is idle, and saves a system call per response.
class ClientConnection : public std::enable_shared_from_this<ClientConnection>
{
public:
    /// \brief Called once, with a complete response or an error.
    ///
    /// Errors: Unavailable (no byte was sent), Unknown (the server may have run the request),
    /// Malformed (the response is not valid HTTP, too large or preceded by too many others, or the
    /// budget for bodies is used up; the server may have run the request).
    using ResponseHandler = std::function<void(Outcome<WireResponse>)>;
    /// \brief Called with the head of each final response, before its body is complete; returns
    /// false if the response belongs to an earlier request. Must not close the connection.
    using HeadHandler = std::function<bool(const WireResponse &)>;
    using ConnectHandler = std::function<void(Outcome<Done>)>;
    /// \brief Called once when an idle connection becomes unusable.
    using CloseHandler = std::function<void()>;

    /// \brief Whether TCP keep-alive probes are sent on an idle connection.
    ///
    /// Probes detect a peer that vanished. Enabling them costs six system calls per connect, which
    /// is unnecessary if all exchanges have short timeouts.
    enum class Probing { On, Off };

    /// Part of a body that is not taken from the budget, so that ordinary responses are never
    /// rejected for the sake of very large ones.
    static constexpr std::size_t s_freeBodyBytes = 65536;

    /// \brief \a bodies limits the bodies that are being received on several connections together;
    /// null: no such limit.
    ClientConnection(boost::asio::io_context &context, TimerQueue &timers, std::size_t maxBodyBytes,
                     Probing probing, ByteBudget *bodies = nullptr);

    /// \brief Connects to \a remote. Errors: Unavailable "connect_failed", "connect_timeout", or
    /// "connect_reset" (the server listens but accepts no further connection).
    void connect(const Endpoint &remote, Duration timeout, ConnectHandler handler);
    void onIdleClose(CloseHandler handler) { m_closeHandler = std::move(handler); }

    /// \brief Sends \a request, whose bytes are a complete HTTP message. \pre isIdle()
    ///
    /// A response for which \a onHead returns false is dropped. Without \a onHead, all responses
    /// are accepted. \a handler never runs before this call returns.
    void exchange(std::string request, bool isHead, HeadHandler onHead, ResponseHandler handler);

    /// \brief True if a request can be sent now.
    bool isIdle() const { return m_isOpen && !m_handler && !m_isWriting; }
    bool isOpen() const { return m_isOpen; }
    /// \brief True once a response has been received on this connection.
    bool hasReceivedResponse() const { return m_hasReceivedResponse; }
    /// \brief Time of the last response, or of the connect if there was none.
    TimePoint lastUsed() const { return m_lastUsed; }
    /// \brief End of the server's Keep-Alive timeout; TimePoint::max() if it sent none.
    TimePoint keepAliveExpiry() const { return m_keepAliveExpiry; }

    /// \brief Closes the socket without calling the handler of an exchange in progress.
    void close();

private:
    void onConnected(const boost::system::error_code &code, const ConnectHandler &handler);
    void read();
    void onRead(const boost::system::error_code &failure, std::size_t count);
    void parse();
    bool parseBuffer();
    void examineHead();
    bool isInterim() const;
    bool isSkipped() const;
    void resetParser();
    void finish();
    void fail(const Error &error);
    void closeSocket();
    void recordKeepAlive(const WireResponse &response);
    void writeRest(std::size_t written);
    void releaseRequest();

    boost::asio::ip::tcp::socket m_socket;
    TimerQueue &m_timers;
    const std::size_t m_maxBodyBytes;
    const Probing m_probing;
    ByteReservation m_body;
    boost::beast::flat_buffer m_buffer;
    std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> m_parser;
    std::string m_request;
    HeadHandler m_headHandler;
    ResponseHandler m_handler;
    CloseHandler m_closeHandler;
    TimerQueue::Id m_connectTimer;
    TimePoint m_lastUsed;
    TimePoint m_keepAliveExpiry = TimePoint::max();
    bool m_isOpen = false;
    bool m_isWriting = false;
    bool m_isHead = false;
    bool m_isHeadExamined = false;
    bool m_isAccepted = true; ///< the response being received belongs to the request
    bool m_hasReceivedResponse = false;
    int m_skippedResponses = 0; ///< since the request was sent
};

} // namespace gwt
