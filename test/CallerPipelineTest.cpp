#include "GatewayFixture.h"

#include "common/Random.h"
#include "gateway/GracefulStop.h"

namespace gwt::test {
namespace {

/// \brief Caller that sends requests without waiting for the responses, in pieces of random size.
class PipeliningCaller
{
public:
    PipeliningCaller(boost::asio::ip::tcp::socket socket, TimerQueue &timers, std::uint64_t seed)
        : m_socket(std::move(socket))
        , m_timers(timers)
        , m_random(seed)
    {
        read();
    }

    void send(std::string bytes, std::size_t longestPiece)
    {
        m_unsent = std::move(bytes);
        m_longestPiece = longestPiece;
        sendPiece();
    }
    bool hasSentAll() const { return m_unsent.empty(); }
    bool isClosed() const { return m_isClosed; }
    const std::string &received() const { return m_received; }
    /// \brief Returns the ids of the complete successful responses, in order.
    std::vector<std::string> answeredIds() const
    {
        std::vector<std::string> ids;
        boost::beast::flat_buffer buffer;
        buffer.commit(boost::asio::buffer_copy(buffer.prepare(m_received.size()),
                                               boost::asio::buffer(m_received)));
        while (buffer.size() > 0) {
            boost::beast::http::response_parser<boost::beast::http::string_body> parser;
            parser.eager(true);
            boost::system::error_code failure;
            buffer.consume(parser.put(buffer.data(), failure));
            if (failure || !parser.is_done())
                break;
            const auto status = parser.get().result_int();
            if (status == 200)
                ids.emplace_back(parser.get()["X-Request-Id"]);
            else if (status != 100)
                ids.push_back("status " + std::to_string(status));
        }
        return ids;
    }

private:
    void sendPiece()
    {
        const std::size_t size
            = std::min<std::size_t>(m_unsent.size(), 1 + m_random() % m_longestPiece);
        boost::system::error_code failure;
        m_socket.send(boost::asio::buffer(m_unsent.data(), size), 0, failure);
        m_unsent.erase(0, failure ? m_unsent.size() : size);
        if (!m_unsent.empty())
            m_timers.after(Microseconds(m_random() % 500), [this] { sendPiece(); });
    }
    void read()
    {
        m_socket.async_read_some(boost::asio::buffer(m_piece),
                                 [this](const auto &failure, std::size_t count) {
                                     if (failure == boost::asio::error::operation_aborted)
                                         return; // this object is gone
                                     m_received.append(m_piece.data(), count);
                                     m_isClosed = !!failure;
                                     if (!failure)
                                         read();
                                 });
    }

    boost::asio::ip::tcp::socket m_socket;
    TimerQueue &m_timers;
    RandomEngine m_random;
    std::string m_unsent;
    std::size_t m_longestPiece = 1;
    std::array<char, 4096> m_piece{};
    std::string m_received;
    bool m_isClosed = false;
};

/// Returns request \a number, of one of several forms.
std::string requestText(std::size_t number, const std::string &id)
{
    const std::string head = " /one/1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id + "\r\n";
    const std::string body(number % 4 == 3 ? 9000 : 20, static_cast<char>('a' + number % 26));
    switch (number % 4) {
    case 0:
        return "GET" + head + "\r\n";
    case 1:
        return "POST" + head + "Transfer-Encoding: chunked\r\n\r\n14\r\n" + body + "\r\n0\r\n\r\n";
    case 2:
        return "POST" + head + "Expect: 100-continue\r\nContent-Length: 20\r\n\r\n" + body
            + "\r\n"; // an empty line before the next request is ignored
    default:
        return "POST" + head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
}

struct PipelineCase
{
    std::string name;
    std::size_t longestPiece; ///< in bytes
    Milliseconds work; ///< of the backend server
    bool stops; ///< the process begins to stop once all bytes are sent
};

class CallerPipelineTest : public GatewayTest,
                           public testing::WithParamInterface<std::tuple<PipelineCase, int>>
{
protected:
    static constexpr std::size_t s_requests = 12;

    CallerPipelineTest()
        : m_stop(m_timers, m_core, m_callerServer, 50ms, 3s, [this] { m_hasEnded = true; })
    { }

    GracefulStop m_stop;
    bool m_hasEnded = false;
};

// Guards against pipelined requests that are dispatched twice, never, or answered by the response
// to another one, and against those that a stopping process drops.
TEST_P(CallerPipelineTest, eachRequestRunsOnceAndIsAnsweredInOrder)
{
    const PipelineCase &pipeline = std::get<0>(GetParam());
    const int seed = std::get<1>(GetParam());
    std::vector<std::string> executed;
    const Milliseconds work = pipeline.work;
    const auto run = [&](const ServerRequest &request) {
        const std::string id(request["X-Request-Id"]);
        executed.push_back(id);
        return ScriptedReply{okResponse(id, signatureField + "X-Request-Id: " + id + "\r\n"), work};
    };
    addServer("s", run);
    addSingleRoute(false);
    start();
    std::vector<std::string> ids;
    std::string bytes;
    for (std::size_t number = 0; number < s_requests; ++number) {
        ids.push_back("id-" + std::to_string(number));
        bytes += requestText(number, ids.back());
    }
    PipeliningCaller caller(connectRaw(), m_timers, static_cast<std::uint64_t>(seed));
    caller.send(bytes, pipeline.longestPiece);
    ASSERT_TRUE(runUntil(m_context, [&] { return caller.hasSentAll(); }));
    if (pipeline.stops)
        m_stop.begin();
    runUntil(m_context, [&] {
        return caller.isClosed() || (!pipeline.stops && caller.answeredIds().size() == s_requests);
    });
    runFor(20ms);
    EXPECT_EQ(executed, ids);
    EXPECT_EQ(caller.answeredIds(), ids);
    if (!pipeline.stops)
        return;
    EXPECT_TRUE(runUntil(m_context, [&] { return m_hasEnded; }));
    const std::string &received = caller.received();
    EXPECT_NE(received.rfind("Connection: close"), std::string::npos);
    EXPECT_EQ(received.find("Connection: close"), received.rfind("Connection: close"));
}

INSTANTIATE_TEST_SUITE_P(
    Splits, CallerPipelineTest,
    testing::Combine(testing::Values(PipelineCase{"fewBytes", 8, 0ms, false},
                                     PipelineCase{"smallPieces", 60, 2ms, false},
                                     PipelineCase{"largePieces", 5000, 5ms, false},
                                     PipelineCase{"oneWrite", 100000, 0ms, false},
                                     PipelineCase{"oneWriteLongWork", 100000, 20ms, false},
                                     PipelineCase{"smallPiecesAndAStop", 60, 2ms, true},
                                     PipelineCase{"oneWriteAndAStop", 100000, 20ms, true}),
                     testing::Range(1, 6)),
    [](const auto &info) {
        return std::get<0>(info.param).name + std::to_string(std::get<1>(info.param));
    });

} // namespace
} // namespace gwt::test
