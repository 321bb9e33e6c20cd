#include "GatewayFixture.h"

namespace gwt::test {
namespace {

/// \brief Backend server that accepts headers of any length and answers each with 200.
class LongHeaderServer
{
public:
    explicit LongHeaderServer(boost::asio::io_context &context)
        : m_acceptor(context, {boost::asio::ip::make_address("127.0.0.1"), 0})
        , m_session(std::make_shared<Session>(context))
    {
        m_acceptor.async_accept(m_session->socket, [session = m_session](const auto &failure) {
            if (!failure)
                read(session);
        });
    }
    ~LongHeaderServer() { m_session->socket.close(); }

    Endpoint endpoint() const { return {"127.0.0.1", m_acceptor.local_endpoint().port()}; }
    /// \brief The headers received, one after the other.
    const std::string &received() const { return m_session->received; }

private:
    struct Session
    {
        explicit Session(boost::asio::io_context &context)
            : socket(context)
        { }

        boost::asio::ip::tcp::socket socket;
        std::string buffer;
        std::string received;
    };

    static void read(const std::shared_ptr<Session> &session)
    {
        boost::asio::async_read_until(session->socket, boost::asio::dynamic_buffer(session->buffer),
                                      "\r\n\r\n", [session](const auto &failure, std::size_t size) {
                                          if (failure)
                                              return;
                                          session->received.append(session->buffer, 0, size);
                                          session->buffer.erase(0, size);
                                          boost::asio::write(session->socket,
                                                             boost::asio::buffer(okResponse("ok")));
                                          read(session);
                                      });
    }

    boost::asio::ip::tcp::acceptor m_acceptor;
    std::shared_ptr<Session> m_session; ///< shared with the pending read
};

struct LongHeaderCase
{
    std::string name;
    std::size_t maxHeaderBytes;
    std::string start; ///< of the request line or field that is filled up
    std::size_t fillBytes;
    std::string end;
    unsigned status;
};

class LongHeaderTest : public GatewayTest, public testing::WithParamInterface<LongHeaderCase>
{
protected:
    LongHeaderTest()
        : m_server(m_context)
    {
        BackendEntry entry;
        entry.id = "i-1";
        entry.service = "s";
        entry.address = m_server.endpoint();
        entry.availabilityZone = "z";
        entry.slots = 2;
        m_entries.push_back(entry);
        addSingleRoute(true);
        m_config.limits.maxHeaderBytes = GetParam().maxHeaderBytes;
        start();
    }

    LongHeaderServer m_server;
};

// Guards against a header within the operator's limit that ends the process, or is refused.
TEST_P(LongHeaderTest, aHeaderIsServedUpToTheLimitOfTheConfiguration)
{
    const LongHeaderCase &header = GetParam();
    const std::string filled = header.start + std::string(header.fillBytes, 'f') + header.end;
    const bool isRequestLine = filled.rfind("GET ", 0) == 0;
    const std::string requestLine = isRequestLine ? filled : "GET /one/1 HTTP/1.1\r\n";
    const std::string field = isRequestLine ? "" : filled;
    const auto outcome
        = exchange(requestLine + "Host: h\r\nX-Request-Id: id-1\r\n" + field + "\r\n");
    ASSERT_TRUE(isOk(outcome)) << errorOf(outcome).reason;
    EXPECT_EQ(valueOf(outcome).result_int(), header.status);
    const bool wasForwarded = m_server.received().find(filled) != std::string::npos;
    EXPECT_EQ(wasForwarded, header.status == 200);
    EXPECT_EQ(sendRequest("/one/1").result_int(), 200U) << "of the next request";
}

INSTANTIATE_TEST_SUITE_P(
    Headers, LongHeaderTest,
    testing::Values(
        LongHeaderCase{"valueOf70000", 131'072, "X-Session: ", 70'000, "\r\n", 200},
        LongHeaderCase{"valueOf65533", 131'072, "X-Session: ", 65'533, "\r\n", 200},
        LongHeaderCase{"valueOf65534", 131'072, "X-Session: ", 65'534, "\r\n", 200},
        LongHeaderCase{"valueOf900000", 1'048'576, "X-Session: ", 900'000, "\r\n", 200},
        LongHeaderCase{"nameOf70000", 131'072, "X-", 70'000, ": v\r\n", 200},
        LongHeaderCase{"targetOf70000", 131'072, "GET /one/", 70'000, " HTTP/1.1\r\n", 200},
        LongHeaderCase{"valueBeyondTheLimit", 16'384, "X-Session: ", 70'000, "\r\n", 431},
        LongHeaderCase{"valueBeyondARaisedLimit", 131'072, "X-Session: ", 140'000, "\r\n", 431}),
    [](const auto &info) { return info.param.name; });

struct TrailerCase
{
    std::string name;
    std::size_t maxHeaderBytes;
    std::size_t trailerBytes;
    unsigned status;
};

class LongTrailerTest : public GatewayTest, public testing::WithParamInterface<TrailerCase>
{ };

// Guards against a trailer that ends the process, or changes the header.
TEST_P(LongTrailerTest, aTrailerIsDroppedUpToTheLimitOfTheHeader)
{
    const TrailerCase &trailer = GetParam();
    ScriptedServer &server = addServer("s", {okResponse("ok")});
    addSingleRoute(true);
    m_config.limits.maxHeaderBytes = trailer.maxHeaderBytes;
    start();
    const auto outcome = exchange("POST /one/1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: id-1\r\n"
                                  "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"
                                  "X-Request-Id: id-2\r\nX-Check: "
                                  + std::string(trailer.trailerBytes, 't') + "\r\n\r\n");
    ASSERT_TRUE(isOk(outcome)) << errorOf(outcome).reason;
    EXPECT_EQ(valueOf(outcome).result_int(), trailer.status);
    for (const ServerRequest &request : server.requests()) {
        EXPECT_EQ(request["X-Request-Id"], "id-1");
        EXPECT_EQ(request.body(), "body");
    }
    EXPECT_EQ(sendRequest("/one/1").result_int(), 200U) << "of the next request";
}

INSTANTIATE_TEST_SUITE_P(Trailers, LongTrailerTest,
                         testing::Values(TrailerCase{"short", 16'384, 100, 200},
                                         TrailerCase{"within", 131'072, 70'000, 200},
                                         TrailerCase{"beyond", 16'384, 70'000, 431}),
                         [](const auto &info) { return info.param.name; });

} // namespace
} // namespace gwt::test
