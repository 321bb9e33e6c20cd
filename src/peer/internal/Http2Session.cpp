#include "peer/internal/Http2Session.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <charconv>
#include <vector>

namespace gwt::internal {

namespace {

constexpr std::size_t maxBodyBytes = 16U << 20U;
constexpr std::uint32_t maxConcurrentStreams = 100'000;
constexpr std::uint32_t streamWindowBytes = 4U << 20U;
constexpr std::int32_t connectionWindowBytes = 64 << 20;
constexpr std::size_t writeChunkBytes = 256U << 10U;

constexpr Microseconds maxTimeLeft = std::chrono::hours(24);

constexpr const char *deadlineHeader = "gwt-time-left-us";
constexpr const char *requestIdHeader = "gwt-request-id";

nghttp2_nv header(std::string_view name, std::string_view value)
{
    return {const_cast<std::uint8_t *>(reinterpret_cast<const std::uint8_t *>(name.data())),
            const_cast<std::uint8_t *>(reinterpret_cast<const std::uint8_t *>(value.data())),
            name.size(), value.size(), NGHTTP2_NV_FLAG_NONE};
}

std::string_view view(const std::uint8_t *data, std::size_t length)
{
    return {reinterpret_cast<const char *>(data), length};
}

template <typename Number>
Number parseNumber(std::string_view text)
{
    Number value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

} // namespace

Http2Session::Http2Session(asio::ip::tcp::socket socket, RequestHandler onRequest,
                           CloseHandler onClose)
    : m_socket(std::move(socket))
    , m_onRequest(std::move(onRequest))
    , m_onClose(std::move(onClose))
{
    nghttp2_session_callbacks *callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    registerCallbacks(callbacks);
    if (m_onRequest)
        nghttp2_session_server_new(&m_session, callbacks, this);
    else
        nghttp2_session_client_new(&m_session, callbacks, this);
    nghttp2_session_callbacks_del(callbacks);
}

Http2Session::~Http2Session()
{
    nghttp2_session_del(m_session);
}

void Http2Session::registerCallbacks(nghttp2_session_callbacks *callbacks)
{
    nghttp2_session_callbacks_set_on_header_callback(
        callbacks,
        [](nghttp2_session *, const nghttp2_frame *frame, const std::uint8_t *name,
           std::size_t nameLength, const std::uint8_t *value, std::size_t valueLength, std::uint8_t,
           void *self) {
            return static_cast<Http2Session *>(self)->onHeader(
                frame->hd.stream_id, view(name, nameLength), view(value, valueLength));
        });
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
        callbacks,
        [](nghttp2_session *, std::uint8_t, std::int32_t stream, const std::uint8_t *data,
           std::size_t length, void *self) {
            return static_cast<Http2Session *>(self)->onData(stream, view(data, length));
        });
    nghttp2_session_callbacks_set_on_frame_recv_callback(
        callbacks, [](nghttp2_session *, const nghttp2_frame *frame, void *self) {
            return static_cast<Http2Session *>(self)->onFrame(*frame);
        });
    nghttp2_session_callbacks_set_before_frame_send_callback(
        callbacks, [](nghttp2_session *, const nghttp2_frame *frame, void *self) {
            return static_cast<Http2Session *>(self)->onBeforeSend(*frame);
        });
    nghttp2_session_callbacks_set_on_stream_close_callback(
        callbacks, [](nghttp2_session *, std::int32_t stream, std::uint32_t code, void *self) {
            return static_cast<Http2Session *>(self)->onStreamClose(stream, code);
        });
}

void Http2Session::start()
{
    m_isOpen = true;
    const std::array settings = {
        nghttp2_settings_entry{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, maxConcurrentStreams},
        nghttp2_settings_entry{NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, streamWindowBytes},
    };
    nghttp2_submit_settings(m_session, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    nghttp2_session_set_local_window_size(m_session, NGHTTP2_FLAG_NONE, 0, connectionWindowBytes);
    spawn(m_socket.get_executor(), readLoop());
    asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->flush(); });
}

void Http2Session::call(PeerRequest request, ReplyHandler onReply)
{
    asio::post(m_socket.get_executor(),
               [self = shared_from_this(), request = std::move(request),
                onReply = std::move(onReply)]() mutable {
                   self->submitCall(std::move(request), std::move(onReply));
               });
}

void Http2Session::submitCall(PeerRequest request, ReplyHandler onReply)
{
    if (!acceptsCalls()) {
        onReply(Error{ErrorCode::Unavailable, "session_closed", ""});
        return;
    }
    if (request.cancel.isCancelled()) {
        onReply(Error{ErrorCode::NotRun, "cancelled_before_send", ""});
        return;
    }
    const Duration left = timeLeft(request.deadline, Clock::now());
    const std::string leftText
        = std::to_string(std::chrono::duration_cast<Microseconds>(left).count());
    const std::array headers = {
        header(":method", "POST"),        header(":scheme", "http"),
        header(":path", request.path),    header(":authority", "godwittray"),
        header(deadlineHeader, leftText), header(requestIdHeader, request.requestId),
    };
    auto stream = std::make_unique<Stream>();
    stream->bodyToSend = std::move(request.body);
    stream->onReply = std::move(onReply);
    const nghttp2_data_provider provider = dataProvider(stream.get());
    const std::int32_t id = nghttp2_submit_request(m_session, nullptr, headers.data(),
                                                   headers.size(), &provider, nullptr);
    if (id < 0) {
        stream->onReply(Error{ErrorCode::Unavailable, "session_closed", nghttp2_strerror(id)});
        return;
    }
    stream->cancelRegistration = request.cancel.onCancel([weak = weak_from_this(), id] {
        const auto self = weak.lock();
        if (!self)
            return;
        asio::post(self->m_socket.get_executor(), [self, id] { self->resetStream(id); });
    });
    m_streams.emplace(id, std::move(stream));
    m_streamCount = static_cast<int>(m_streams.size());
    flush();
}

void Http2Session::resetStream(std::int32_t stream)
{
    if (!find(stream))
        return;
    nghttp2_submit_rst_stream(m_session, NGHTTP2_FLAG_NONE, stream, NGHTTP2_CANCEL);
    flush();
}

nghttp2_data_provider Http2Session::dataProvider(Stream *stream)
{
    nghttp2_data_provider provider{};
    provider.source.ptr = stream;
    provider.read_callback
        = [](nghttp2_session *, std::int32_t, std::uint8_t *target, std::size_t length,
             std::uint32_t *flags, nghttp2_data_source *source, void *) -> ssize_t {
        auto *data = static_cast<Stream *>(source->ptr);
        const std::size_t count = std::min(length, data->bodyToSend.size() - data->bytesSent);
        std::copy_n(data->bodyToSend.data() + data->bytesSent, count, target);
        data->bytesSent += count;
        if (data->bytesSent == data->bodyToSend.size())
            *flags |= NGHTTP2_DATA_FLAG_EOF;
        return static_cast<ssize_t>(count);
    };
    return provider;
}

void Http2Session::refuse(std::int32_t id)
{
    asio::post(m_socket.get_executor(), [self = shared_from_this(), id] {
        if (!self->find(id) || !self->m_isOpen)
            return;
        nghttp2_submit_rst_stream(self->m_session, NGHTTP2_FLAG_NONE, id, NGHTTP2_REFUSED_STREAM);
        self->flush();
    });
}

void Http2Session::respond(std::int32_t id, PeerReply reply)
{
    asio::post(m_socket.get_executor(),
               [self = shared_from_this(), id, reply = std::move(reply)]() mutable {
                   Stream *stream = self->find(id);
                   if (!stream || !self->m_isOpen)
                       return;
                   stream->bodyToSend = std::move(reply.body);
                   const std::string status = std::to_string(reply.status);
                   const std::array headers = {header(":status", status)};
                   const nghttp2_data_provider provider = self->dataProvider(stream);
                   nghttp2_submit_response(self->m_session, id, headers.data(), headers.size(),
                                           &provider);
                   self->flush();
               });
}

void Http2Session::shutDown()
{
    asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        if (!self->m_isOpen)
            return;
        self->m_lastAcceptedStream = nghttp2_session_get_last_proc_stream_id(self->m_session);
        nghttp2_submit_goaway(self->m_session, NGHTTP2_FLAG_NONE, self->m_lastAcceptedStream,
                              NGHTTP2_NO_ERROR, nullptr, 0);
        self->flush();
    });
}

void Http2Session::close()
{
    asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->endSession(); });
}

Task<void> Http2Session::readLoop()
{
    const auto self = shared_from_this();
    while (m_isOpen) {
        const auto [failure, count]
            = co_await m_socket.async_read_some(asio::buffer(m_readBuffer), asTuple);
        if (failure)
            break;
        const ssize_t used = nghttp2_session_mem_recv(m_session, m_readBuffer.data(), count);
        if (used < 0)
            break;
        flush();
        // Only the client closes the session, because it knows when it has read the last reply.
        if (!m_onRequest && !nghttp2_session_want_read(m_session)
            && !nghttp2_session_want_write(m_session)) {
            break;
        }
    }
    endSession();
}

void Http2Session::flush()
{
    if (m_isWriting || !m_isOpen)
        return;
    m_isWriting = true;
    spawn(m_socket.get_executor(), writeLoop());
}

Task<void> Http2Session::writeLoop()
{
    const auto self = shared_from_this();
    while (m_isOpen) {
        m_writeBuffer.clear();
        while (m_writeBuffer.size() < writeChunkBytes) {
            const std::uint8_t *data = nullptr;
            const ssize_t count = nghttp2_session_mem_send(m_session, &data);
            if (count <= 0)
                break;
            m_writeBuffer.append(reinterpret_cast<const char *>(data),
                                 static_cast<std::size_t>(count));
        }
        if (m_writeBuffer.empty())
            break;
        const auto [failure, count]
            = co_await asio::async_write(m_socket, asio::buffer(m_writeBuffer), asTuple);
        if (failure) {
            endSession();
            break;
        }
    }
    m_isWriting = false;
}

void Http2Session::endSession()
{
    if (!m_isOpen.exchange(false))
        return;
    m_settingsReceived.set(false);
    boost::system::error_code ignored;
    m_socket.close(ignored);
    auto streams = std::move(m_streams);
    m_streams.clear();
    m_streamCount = 0;
    for (auto &[id, stream] : streams) {
        if (m_onRequest)
            stream->request.cancel.cancel();
        else
            finishReply(std::move(stream), NGHTTP2_INTERNAL_ERROR);
    }
    if (m_onClose)
        m_onClose(this);
}

Http2Session::Stream *Http2Session::find(std::int32_t stream)
{
    const auto found = m_streams.find(stream);
    return found == m_streams.end() ? nullptr : found->second.get();
}

int Http2Session::onHeader(std::int32_t id, std::string_view name, std::string_view value)
{
    Stream *stream = find(id);
    if (!stream) {
        if (!m_onRequest)
            return 0;
        stream = m_streams.emplace(id, std::make_unique<Stream>()).first->second.get();
        m_streamCount = static_cast<int>(m_streams.size());
    }
    if (name == ":path")
        stream->request.path = value;
    else if (name == ":status")
        stream->status = parseNumber<int>(value);
    else if (name == deadlineHeader)
        stream->timeLeft = Microseconds(parseNumber<std::int64_t>(value));
    else if (name == requestIdHeader)
        stream->request.requestId = value;
    return 0;
}

int Http2Session::onData(std::int32_t id, std::string_view data)
{
    Stream *stream = find(id);
    if (!stream)
        return 0;
    if (stream->receivedBody.size() + data.size() > maxBodyBytes) {
        nghttp2_submit_rst_stream(m_session, NGHTTP2_FLAG_NONE, id, NGHTTP2_ENHANCE_YOUR_CALM);
        return 0;
    }
    stream->receivedBody.append(data);
    return 0;
}

int Http2Session::onFrame(const nghttp2_frame &frame)
{
    if (frame.hd.type == NGHTTP2_GOAWAY) {
        m_isGoingAway = true;
        return 0;
    }
    const bool isSettings
        = frame.hd.type == NGHTTP2_SETTINGS && (frame.hd.flags & NGHTTP2_FLAG_ACK) == 0;
    if (isSettings)
        m_settingsReceived.set(true);
    const bool carriesMessage = frame.hd.type == NGHTTP2_DATA || frame.hd.type == NGHTTP2_HEADERS;
    const bool endsStream = (frame.hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
    if (!carriesMessage || !endsStream || !m_onRequest)
        return 0;
    Stream *stream = find(frame.hd.stream_id);
    if (stream)
        finishRequest(frame.hd.stream_id, *stream);
    return 0;
}

void Http2Session::finishRequest(std::int32_t id, Stream &stream)
{
    if (std::exchange(stream.isRequestDone, true))
        return;
    if (id > m_lastAcceptedStream) {
        // The request arrived before our GOAWAY was written; the client treats it as not run.
        nghttp2_submit_rst_stream(m_session, NGHTTP2_FLAG_NONE, id, NGHTTP2_REFUSED_STREAM);
        return;
    }
    PeerRequest request = stream.request;
    request.body = std::move(stream.receivedBody);
    // Without the bound, the sum could overflow and give a deadline in the past.
    request.deadline = Clock::now() + std::min(stream.timeLeft, maxTimeLeft);
    m_onRequest(shared_from_this(), id, std::move(request));
}

int Http2Session::onStreamClose(std::int32_t id, std::uint32_t code)
{
    const auto found = m_streams.find(id);
    if (found == m_streams.end())
        return 0;
    std::unique_ptr<Stream> stream = std::move(found->second);
    m_streams.erase(found);
    m_streamCount = static_cast<int>(m_streams.size());
    if (!m_onRequest)
        finishReply(std::move(stream), code);
    else if (code != NGHTTP2_NO_ERROR)
        stream->request.cancel.cancel();
    return 0;
}

int Http2Session::onBeforeSend(const nghttp2_frame &frame)
{
    if (frame.hd.type != NGHTTP2_HEADERS)
        return 0;
    if (Stream *stream = find(frame.hd.stream_id))
        stream->wasSent = true;
    return 0;
}

void Http2Session::finishReply(std::unique_ptr<Stream> stream, std::uint32_t code)
{
    const ReplyHandler onReply = std::move(stream->onReply);
    if (!stream->wasSent) {
        onReply(Error{ErrorCode::Unavailable, "session_closed", ""});
        return;
    }
    if (code == NGHTTP2_REFUSED_STREAM) {
        onReply(Error{ErrorCode::Unavailable, "stream_refused", ""});
        return;
    }
    if (code != NGHTTP2_NO_ERROR || stream->status == 0) {
        onReply(Error{ErrorCode::Unknown, "stream_lost", nghttp2_http2_strerror(code)});
        return;
    }
    onReply(PeerReply{stream->status, std::move(stream->receivedBody)});
}

} // namespace gwt::internal
