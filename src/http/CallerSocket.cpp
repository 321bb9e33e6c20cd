#include "http/CallerSocket.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace gwt {

namespace {

/// Unsent bytes in the kernel beyond which a connection is not writable.
constexpr int maxUnsentBytes = 16'384;

} // namespace

void configureCallerSocket(boost::asio::ip::tcp::socket &socket)
{
    using boost::asio::ip::tcp;
    using NotSentLowWatermark
        = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_NOTSENT_LOWAT>;
    boost::system::error_code ignored; // each option is an improvement, not a necessity
    socket.non_blocking(true, ignored);
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    socket.set_option(NotSentLowWatermark(maxUnsentBytes), ignored);
}

} // namespace gwt
