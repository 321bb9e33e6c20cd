#include "common/Sleep.h"
#include "common/WorkerPool.h"
#include "http/HttpServer.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <future>

namespace gwt {
namespace {

using asio::ip::tcp;

/// \brief Runs a server whose only worker can be blocked, so that events queue up.
class HttpDrainTest : public testing::Test
{
protected:
    HttpDrainTest()
        : m_pool(1)
        , m_server(m_pool.executor(), HttpServerLimits{},
                   [](HttpRequest request) -> Task<HttpResponse> {
                       if (request.path() == "/slow")
                           co_await sleepFor(Milliseconds(300));
                       co_return HttpResponse::json(200, request.body);
                   })
        , m_address(valueOf(m_server.listen({"127.0.0.1", 0})))
    { }

    ~HttpDrainTest() override { m_pool.stop(); }

    void blockWorker()
    {
        m_release = std::promise<void>();
        std::promise<void> isBlocked;
        asio::post(m_pool.executor(), [&isBlocked, released = m_release.get_future().share()] {
            isBlocked.set_value();
            released.wait();
        });
        isBlocked.get_future().wait();
    }

    tcp::socket connect()
    {
        tcp::socket socket(m_context);
        socket.connect({asio::ip::make_address(m_address.address), m_address.port});
        return socket;
    }

    static void send(tcp::socket &socket, const std::string &text)
    {
        boost::system::error_code ignored;
        asio::write(socket, asio::buffer(text), ignored);
    }

    /// \brief Returns the next response up to its body; empty if the connection closes instead.
    static std::string receiveHead(tcp::socket &socket)
    {
        std::string text;
        boost::system::error_code failure;
        const std::size_t size
            = asio::read_until(socket, asio::dynamic_buffer(text), "{}", failure);
        return failure ? "" : text.substr(0, size);
    }

    static bool isFinalResponse(const std::string &head)
    {
        return head.find("200 OK") != std::string::npos
            && head.find("Connection: close") != std::string::npos;
    }

    const std::string m_request = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}";
    asio::io_context m_context;
    WorkerPool m_pool;
    HttpServer m_server;
    Endpoint m_address;
    std::promise<void> m_release;
};

TEST_F(HttpDrainTest, requestInAcceptQueueIsAnsweredAfterStop)
{
    blockWorker();
    tcp::socket socket = connect();
    send(socket, m_request);
    m_server.stopAccepting();
    m_release.set_value();
    EXPECT_TRUE(isFinalResponse(receiveHead(socket)));
}

TEST_F(HttpDrainTest, requestArrivingOnIdleConnectionIsAnsweredAfterStop)
{
    tcp::socket socket = connect();
    send(socket, m_request);
    ASSERT_NE(receiveHead(socket), "");
    blockWorker();
    send(socket, m_request);
    m_server.stopAccepting();
    m_release.set_value();
    EXPECT_TRUE(isFinalResponse(receiveHead(socket)));
}

TEST_F(HttpDrainTest, partlyReadRequestIsAnsweredAfterStop)
{
    tcp::socket socket = connect();
    send(socket, m_request.substr(0, 20));
    while (m_server.requestsInProgress() == 0)
        std::this_thread::yield();
    m_server.stopAccepting();
    send(socket, m_request.substr(20));
    EXPECT_TRUE(isFinalResponse(receiveHead(socket)));
}

// Guards against requests that were sent before a stop and get no response, since the connection is
// closed with the response to an earlier one.
TEST_F(HttpDrainTest, pipelinedRequestsAreAnsweredAfterStop)
{
    constexpr int requests = 5;
    blockWorker();
    tcp::socket socket = connect();
    for (int i = 0; i < requests; ++i)
        send(socket, m_request);
    m_server.stopAccepting();
    m_release.set_value();
    std::string text;
    boost::system::error_code failure;
    asio::read(socket, asio::dynamic_buffer(text), failure); // until the server closes
    int answered = 0;
    for (std::size_t at = text.find("200 OK"); at != std::string::npos;
         at = text.find("200 OK", at + 1))
        ++answered;
    EXPECT_EQ(answered, requests) << text;
    EXPECT_NE(text.find("Connection: close"), std::string::npos);
    EXPECT_EQ(text.find("Connection: close"), text.rfind("Connection: close"));
}

TEST_F(HttpDrainTest, drainingServerAcceptsConnectionsAndClosesEachAfterItsResponse)
{
    m_server.startDraining();
    for (int i = 0; i < 3; ++i) {
        tcp::socket socket = connect();
        send(socket, m_request);
        EXPECT_TRUE(isFinalResponse(receiveHead(socket)));
    }
}

TEST_F(HttpDrainTest, rejectionOfUnfinishedBodyIsNotLostToReset)
{
    for (int i = 0; i < 20; ++i) {
        tcp::socket socket = connect();
        send(socket, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 8000000\r\n\r\n");
        boost::system::error_code failure;
        asio::write(socket, asio::buffer(std::string(8'000'000, 'x')), failure);
        ASSERT_FALSE(failure) << failure.message();
        std::string text;
        asio::read_until(socket, asio::dynamic_buffer(text), "\r\n\r\n", failure);
        EXPECT_EQ(text.substr(0, 12), "HTTP/1.1 413") << failure.message();
    }
}

TEST_F(HttpDrainTest, idleConnectionsCloseAfterStop)
{
    tcp::socket socket = connect();
    send(socket, m_request);
    ASSERT_NE(receiveHead(socket), "");
    m_server.stopAccepting();
    EXPECT_EQ(receiveHead(socket), "");
    while (m_server.connections() > 0)
        std::this_thread::yield();
}

struct UnfinishedRequest
{
    std::string name;
    std::string text; ///< what has arrived when the requests are ended
};

class HttpEndRequestsTest : public HttpDrainTest,
                            public testing::WithParamInterface<UnfinishedRequest>
{ };

// Guards against requests that end without a response, or with two, when a handler is too slow.
TEST_P(HttpEndRequestsTest, requestInProgressIsAnsweredOnce)
{
    tcp::socket socket = connect();
    send(socket, GetParam().text);
    while (m_server.requestsInProgress() == 0)
        std::this_thread::yield();
    m_server.stopAccepting();
    m_server.endRequests(HttpResponse::json(504, "{}"));
    std::string text;
    boost::system::error_code failure;
    asio::read(socket, asio::dynamic_buffer(text), failure); // until the server closes
    EXPECT_EQ(failure, asio::error::eof) << failure.message();
    EXPECT_EQ(text.find("HTTP/1.1 504"), 0U) << text;
    EXPECT_EQ(text.rfind("HTTP/1.1"), 0U) << text;
    EXPECT_NE(text.find("Connection: close"), std::string::npos) << text;
    socket.close();
    std::this_thread::sleep_for(Milliseconds(400)); // the handler has returned
    EXPECT_EQ(m_server.requestsInProgress(), 0);
    EXPECT_EQ(m_server.connections(), 0);
}

const std::string slowRequest = "POST /slow HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}";

INSTANTIATE_TEST_SUITE_P(Requests, HttpEndRequestsTest,
                         testing::Values(UnfinishedRequest{"inHandler", slowRequest},
                                         UnfinishedRequest{"partlyRead", slowRequest.substr(0, 20)},
                                         UnfinishedRequest{"pipelined", slowRequest + slowRequest}),
                         [](const auto &info) { return info.param.name; });

} // namespace
} // namespace gwt
