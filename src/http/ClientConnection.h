#pragma once

#include "common/Endpoint.h"
#include "common/Outcome.h"
#include "common/TimerQueue.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace gwt {

using WireResponse = boost::beast::http::response<boost::beast::http::string_body>;

/// \brief One HTTP/1.1 connection to a server, for an event loop of one thread.
///
/// It carries one exchange at a time and always has a read pending: bytes that belong to no request
/// and a close by the server are noticed while the connection is idle, and the next reply needs no
/// further system call to wait for it.
class ClientConnection : public std::enable_shared_from_this<ClientConnection>
{
public:
    /// \brief Called once: with a whole response, or with why there is none.
    ///
    /// Errors: Unavailable (proven that no byte was sent), Unknown (the server may have acted),
    /// Malformed (the reply is no HTTP; the server may have acted).
    using ResponseHandler = std::function<void(Outcome<WireResponse>)>;
    using ResponseFilter = std::function<bool(const WireResponse &)>;
    using ConnectHandler = std::function<void(Outcome<Done>)>;
    /// \brief Called once when an idle connection has become unusable.
    using CloseHandler = std::function<void()>;

    /// \brief Whether the kernel probes the connection while nothing is sent.
    ///
    /// Probes notice a peer that vanished; they cost six system calls at the connect, which a
    /// connection whose exchanges all have short time-outs can do without.
    enum class Probing { On, Off };

    ClientConnection(boost::asio::io_context &context, TimerQueue &timers, std::size_t maxBodyBytes,
                     Probing probing);

    /// \brief Connects; Errors: Unavailable "connect_failed", "connect_timeout", or "connect_reset"
    /// by a server that listens and takes no further connection.
    void connect(const Endpoint &remote, Duration timeout, ConnectHandler handler);
    void onIdleClose(CloseHandler handler) { m_closeHandler = std::move(handler); }

    /// \brief Sends \a request, whose bytes are a complete HTTP message. \pre isIdle()
    ///
    /// A response that \a accepts refuses belongs to an earlier request and is dropped.
    /// \a handler never runs before this call has returned.
    void exchange(std::string request, bool isHead, ResponseFilter accepts,
                  ResponseHandler handler);

    /// \brief True if a request can be sent now.
    bool isIdle() const { return m_isOpen && !m_handler && !m_isWriting; }
    bool isOpen() const { return m_isOpen; }
    /// \brief True once the server has answered on this connection.
    bool hasServed() const { return m_hasServed; }
    /// \brief Time of the last reply, or of the connect.
    TimePoint lastUsed() const { return m_lastUsed; }
    /// \brief Until when the server promised to keep the idle connection; max if it did not say.
    TimePoint keptUntil() const { return m_keptUntil; }

    /// \brief Closes the socket; an exchange in progress ends without a call of its handler.
    void close();

private:
    void read();
    void onRead(const boost::system::error_code &failure, std::size_t count);
    void parse();
    void resetParser();
    void finish();
    void fail(const Error &error);
    void shut();
    void notePersistence(const WireResponse &response);
    void writeRest(std::size_t written);

    boost::asio::ip::tcp::socket m_socket;
    TimerQueue &m_timers;
    const std::size_t m_maxBodyBytes;
    const Probing m_probing;
    boost::beast::flat_buffer m_buffer;
    std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> m_parser;
    std::string m_request;
    ResponseFilter m_accepts;
    ResponseHandler m_handler;
    CloseHandler m_closeHandler;
    TimerQueue::Id m_connectTimer;
    TimePoint m_lastUsed;
    TimePoint m_keptUntil = TimePoint::max();
    bool m_isOpen = false;
    bool m_isWriting = false;
    bool m_isHead = false;
    bool m_hasServed = false;
};

} // namespace gwt
