#include "TaskRunner.h"
#include "common/Sleep.h"
#include "http/Http.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <atomic>

namespace gwt {
namespace {

using namespace std::chrono_literals;

class HttpServerTest : public testing::Test
{
protected:
    HttpServerTest()
        : m_pool(4)
        , m_server(m_pool.executor(), HttpServerLimits{1000, 100, 200ms, 5000ms},
                   [this](HttpRequest request) { return answer(std::move(request)); })
        , m_client(m_pool.executor())
    {
        m_address = valueOf(m_server.listen({"127.0.0.1", 0}));
    }

    ~HttpServerTest() override { m_pool.stop(); }

    Task<HttpResponse> answer(HttpRequest request)
    {
        if (request.path() == "/hang") {
            while (!request.cancel.isCancelled())
                co_await sleepFor(5ms);
            ++m_cancelled;
        }
        co_return HttpResponse::text(200,
                                     request.method + " " + request.path() + " " + request.body);
    }

    Outcome<HttpResponse> send(const std::string &target, const std::string &body,
                               Milliseconds timeout = 5000ms)
    {
        HttpRequest request;
        request.method = "POST";
        request.target = target;
        request.body = body;
        return runTask(m_pool, m_client.send(m_address, request, Clock::now() + timeout));
    }

    WorkerPool m_pool;
    HttpServer m_server;
    HttpClient m_client;
    Endpoint m_address;
    std::atomic<int> m_cancelled = 0;
};

TEST_F(HttpServerTest, sequentialRequestsReuseOneConnection)
{
    for (int i = 0; i < 200; ++i) {
        const auto response = send("/a?x=1", std::to_string(i));
        ASSERT_TRUE(isOk(response)) << errorOf(response).detail;
        EXPECT_EQ(valueOf(response).body, "POST /a " + std::to_string(i));
    }
    EXPECT_EQ(m_server.connections(), 1);
}

TEST_F(HttpServerTest, oversizedBodyGets413AndIsNotRun)
{
    const auto response = send("/a", std::string(2000, 'x'));
    ASSERT_TRUE(isOk(response));
    EXPECT_EQ(valueOf(response).status, 413);
    EXPECT_NE(valueOf(response).body.find("notRun"), std::string::npos);
}

TEST_F(HttpServerTest, disconnectCancelsTheRequest)
{
    const auto response = send("/hang", "", 50ms);
    ASSERT_FALSE(isOk(response));
    EXPECT_EQ(errorOf(response).code, ErrorCode::Timeout);
    for (int i = 0; i < 1000 && m_cancelled == 0; ++i)
        std::this_thread::sleep_for(5ms);
    EXPECT_EQ(m_cancelled, 1);
}

TEST_F(HttpServerTest, slowRequestGets408)
{
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect({asio::ip::make_address(m_address.address), m_address.port});
    asio::write(socket, asio::buffer(std::string("POST /a HTTP/1.1\r\nContent-Le")));
    std::string answer;
    boost::system::error_code end;
    asio::read(socket, asio::dynamic_buffer(answer), end);
    EXPECT_EQ(answer.rfind("HTTP/1.1 408", 0), 0U) << answer;
}

TEST_F(HttpServerTest, malformedRequestGets400)
{
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect({asio::ip::make_address(m_address.address), m_address.port});
    asio::write(socket, asio::buffer(std::string("\x01\x02 nonsense\r\n\r\n")));
    std::string answer;
    boost::system::error_code end;
    asio::read(socket, asio::dynamic_buffer(answer), end);
    EXPECT_EQ(answer.rfind("HTTP/1.1 400", 0), 0U) << answer;
}

// Guards against a request that is smuggled inside the body of another one.
TEST_F(HttpServerTest, aBodyOfUnknownLengthGets400)
{
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect({asio::ip::make_address(m_address.address), m_address.port});
    asio::write(socket,
                asio::buffer(std::string("POST /a HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n"
                                         "GET /b HTTP/1.1\r\nConnection: close\r\n\r\n")));
    std::string answer;
    boost::system::error_code end;
    asio::read(socket, asio::dynamic_buffer(answer), end);
    EXPECT_EQ(answer.rfind("HTTP/1.1 400", 0), 0U) << answer;
    EXPECT_EQ(answer.find("200"), std::string::npos) << answer;
}

} // namespace
} // namespace gwt
