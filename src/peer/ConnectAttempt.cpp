#include "peer/ConnectAttempt.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/steady_timer.hpp>

namespace gwt {

using asio::ip::tcp;
using boost::system::error_code;

Task<error_code> connectWithin(tcp::socket &socket, Endpoint remote, Milliseconds timeout)
{
    using namespace asio::experimental::awaitable_operators;
    error_code failure;
    const auto address = asio::ip::make_address(remote.address, failure);
    if (failure)
        co_return failure;
    asio::steady_timer timer(socket.get_executor(), timeout);
    const auto result = co_await (socket.async_connect(tcp::endpoint(address, remote.port), asTuple)
                                  || timer.async_wait(asTuple));
    if (result.index() != 0)
        co_return asio::error::timed_out;
    co_return std::get<0>(std::get<0>(result));
}

Task<bool> refusesConnections(Endpoint remote, Milliseconds timeout)
{
    tcp::socket socket(co_await asio::this_coro::executor);
    const error_code failure = co_await connectWithin(socket, remote, timeout);
    co_return failure == asio::error::connection_refused;
}

} // namespace gwt
