#include "TaskRunner.h"
#include "http/Http.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <thread>

namespace gwt {
namespace {

using namespace std::chrono_literals;

struct TrailerCase
{
    std::string name;
    std::size_t trailerBytes;
    bool isAccepted;
};

std::string chunkedBody(std::size_t trailerBytes)
{
    return "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-Check: "
        + std::string(trailerBytes, 't') + "\r\n\r\n";
}

/// Guards against a trailer so long that the library throws, which ends the process.
class HttpTrailerTest : public testing::TestWithParam<TrailerCase>
{
protected:
    HttpTrailerTest()
        : m_pool(2)
    { }
    ~HttpTrailerTest() override { m_pool.stop(); }

    WorkerPool m_pool;
    asio::io_context m_context;
};

TEST_P(HttpTrailerTest, theServerRejectsALongTrailerAndServesTheNextRequest)
{
    HttpServer server(m_pool.executor(), HttpServerLimits{1000, 100, 2000ms, 5000ms},
                      [](const HttpRequest &request) -> Task<HttpResponse> {
                          const std::string text = request.body;
                          co_return HttpResponse::text(200, text);
                      });
    const Endpoint address = valueOf(server.listen({"127.0.0.1", 0}));
    const auto post = [&](std::size_t trailerBytes) {
        asio::ip::tcp::socket socket(m_context);
        socket.connect({asio::ip::make_address(address.address), address.port});
        asio::write(socket,
                    asio::buffer("POST /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                                 + chunkedBody(trailerBytes)));
        std::string answer;
        boost::system::error_code end;
        asio::read(socket, asio::dynamic_buffer(answer), end);
        return answer.substr(0, answer.find('\r'));
    };
    EXPECT_EQ(post(GetParam().trailerBytes),
              GetParam().isAccepted ? "HTTP/1.1 200 OK"
                                    : "HTTP/1.1 431 Request Header Fields Too Large");
    EXPECT_EQ(post(100), "HTTP/1.1 200 OK");
}

TEST_P(HttpTrailerTest, theClientRejectsALongTrailer)
{
    asio::ip::tcp::acceptor acceptor(m_context, {asio::ip::make_address("127.0.0.1"), 0});
    const Endpoint address{"127.0.0.1", acceptor.local_endpoint().port()};
    std::thread server([&] {
        asio::ip::tcp::socket socket(m_context);
        acceptor.accept(socket);
        std::string request;
        boost::system::error_code failure;
        asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", failure);
        asio::write(socket,
                    asio::buffer("HTTP/1.1 200 OK\r\n" + chunkedBody(GetParam().trailerBytes)),
                    failure);
        asio::read(socket, asio::dynamic_buffer(request), failure); // until the client closes
    });
    HttpRequest request;
    request.method = "GET";
    request.target = "/a";
    Outcome<HttpResponse> response = Error{ErrorCode::Unavailable, "not_sent"};
    {
        HttpClient client(m_pool.executor());
        response = runTask(m_pool, client.send(address, request, Clock::now() + 5000ms));
    }
    server.join();
    ASSERT_EQ(isOk(response), GetParam().isAccepted);
    if (!GetParam().isAccepted) {
        EXPECT_EQ(errorOf(response).reason, "bad_reply");
    }
}

INSTANTIATE_TEST_SUITE_P(Trailers, HttpTrailerTest,
                         testing::Values(TrailerCase{"short", 100, true},
                                         TrailerCase{"long", 40'000, false},
                                         TrailerCase{"longerThanFieldsMayBe", 70'000, false}),
                         [](const auto &info) { return info.param.name; });

} // namespace
} // namespace gwt
