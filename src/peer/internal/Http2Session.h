#pragma once

#include "common/OneShot.h"
#include "common/Outcome.h"
#include "peer/PeerMessage.h"

#include <boost/asio/ip/tcp.hpp>

#include <nghttp2/nghttp2.h>

#include <array>
#include <atomic>
#include <functional>
#include <limits>
#include <map>
#include <memory>

namespace gwt::internal {

/// \brief One HTTP/2 connection between two daemons, client or server side.
///
/// All state belongs to the socket's strand. Public functions may be called from any thread.
class Http2Session : public std::enable_shared_from_this<Http2Session>
{
public:
    using ReplyHandler = std::function<void(Outcome<PeerReply>)>;
    /// \brief Called on the strand for each complete request; replies through respond().
    using RequestHandler = std::function<void(std::shared_ptr<Http2Session>, std::int32_t stream,
                                              PeerRequest request)>;
    using CloseHandler = std::function<void(const Http2Session *)>;

    Http2Session(asio::ip::tcp::socket socket, RequestHandler onRequest, CloseHandler onClose);
    ~Http2Session();
    Http2Session(const Http2Session &) = delete;
    Http2Session &operator=(const Http2Session &) = delete;

    /// \brief Starts reading and writing. A session without a request handler is a client.
    void start();
    /// \brief Client: sends \a request; \a onReply runs once.
    ///
    /// Errors: NotRun "cancelled_before_send", Unavailable "session_closed" if nothing was sent,
    /// Unavailable "stream_refused" if the remote did not process it (GOAWAY, REFUSED_STREAM),
    /// Unknown "stream_lost" if the stream ended in any other way.
    void call(PeerRequest request, ReplyHandler onReply);
    /// \brief Server: sends the reply on \a stream; ignored if the stream has closed.
    void respond(std::int32_t stream, PeerReply reply);
    /// \brief Server: refuses the request on \a stream; proves to the client that it was not run.
    void refuse(std::int32_t stream);
    /// \brief Sends GOAWAY, after which no new stream is accepted; open streams continue.
    void shutDown();
    void close();

    /// \brief Becomes true when the remote's first SETTINGS frame arrives, or false if the session
    /// ends before that.
    OneShot<bool> settingsReceived() const { return m_settingsReceived; }

    bool isOpen() const { return m_isOpen; }
    bool acceptsCalls() const { return m_isOpen && !m_isGoingAway; }
    int streamCount() const { return m_streamCount; }
    /// \brief True while a stream is open or a write is in progress.
    bool isBusy() const { return m_isOpen && (m_streamCount > 0 || m_isWriting); }

private:
    struct Stream
    {
        PeerRequest request;
        std::string receivedBody;
        std::string bodyToSend;
        std::size_t bytesSent = 0;
        int status = 0;
        Microseconds timeLeft{0};
        bool isRequestDone = false;
        bool wasSent = false; ///< its HEADERS frame is in the write buffer
        ReplyHandler onReply;
        CancelToken::Registration cancelRegistration;
    };

    void submitCall(PeerRequest request, ReplyHandler onReply);
    void resetStream(std::int32_t stream);
    Task<void> readLoop();
    Task<void> writeLoop();
    void flush();
    void endSession();
    Stream *find(std::int32_t stream);
    void finishRequest(std::int32_t id, Stream &stream);
    void finishReply(std::unique_ptr<Stream> stream, std::uint32_t code);

    int onHeader(std::int32_t stream, std::string_view name, std::string_view value);
    int onData(std::int32_t stream, std::string_view data);
    int onFrame(const nghttp2_frame &frame);
    int onStreamClose(std::int32_t stream, std::uint32_t code);
    int onBeforeSend(const nghttp2_frame &frame);
    void registerCallbacks(nghttp2_session_callbacks *callbacks);
    nghttp2_data_provider dataProvider(Stream *stream);

    asio::ip::tcp::socket m_socket;
    RequestHandler m_onRequest;
    CloseHandler m_onClose;
    nghttp2_session *m_session = nullptr;
    std::map<std::int32_t, std::unique_ptr<Stream>> m_streams;
    std::array<std::uint8_t, 65536> m_readBuffer{};
    std::string m_writeBuffer;
    std::atomic<bool> m_isWriting = false;
    OneShot<bool> m_settingsReceived;
    std::atomic<bool> m_isOpen = false;
    std::atomic<bool> m_isGoingAway = false;
    std::atomic<int> m_streamCount = 0;
    std::int32_t m_lastAcceptedStream
        = std::numeric_limits<std::int32_t>::max(); ///< last stream in our GOAWAY
};

} // namespace gwt::internal
