// Measures the server's CPU time per request of a minimal Beast HTTP echo over loopback.
// Usage: EchoBench [REQUESTS [BODY-BYTES]]; prints "echo_server_us N".

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <chrono>
#include <cstdlib>
#include <ctime>
#include <future>
#include <iostream>
#include <string>

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

using CpuTime = std::chrono::duration<double, std::micro>;

CpuTime threadCpuTime()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

/// \brief Echoes \a requests request bodies on \a socket and returns the CPU time used.
CpuTime serve(tcp::socket socket, int requests)
{
    beast::flat_buffer buffer;
    const CpuTime start = threadCpuTime();
    for (int i = 0; i < requests; ++i) {
        http::request<http::string_body> request;
        http::read(socket, buffer, request);
        http::response<http::string_body> response(http::status::ok, 11);
        response.set(http::field::content_type, "application/json");
        response.body() = std::move(request.body());
        response.prepare_payload();
        http::write(socket, response);
    }
    return threadCpuTime() - start;
}

void sendRequests(tcp::socket &socket, int requests, const std::string &body)
{
    beast::flat_buffer buffer;
    for (int i = 0; i < requests; ++i) {
        http::request<http::string_body> request(http::verb::post, "/echo", 11);
        request.set(http::field::host, "echo");
        request.body() = body;
        request.prepare_payload();
        http::write(socket, request);
        http::response<http::string_body> response;
        http::read(socket, buffer, response);
    }
}

} // namespace

int main(int argc, char **argv)
{
    const int requests = argc > 1 ? std::atoi(argv[1]) : 20'000;
    const int bytes = argc > 2 ? std::atoi(argv[2]) : 1000;
    asio::io_context context;
    tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    tcp::socket client(context);
    client.connect(acceptor.local_endpoint());
    client.set_option(tcp::no_delay(true));
    tcp::socket server = acceptor.accept();
    server.set_option(tcp::no_delay(true));
    auto served = std::async(std::launch::async, serve, std::move(server), requests);
    sendRequests(client, requests, std::string(static_cast<std::size_t>(bytes), 'x'));
    std::cout << "echo_server_us " << served.get().count() / requests << "\n";
}
