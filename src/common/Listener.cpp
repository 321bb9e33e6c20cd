#include "common/Listener.h"

#include <boost/asio/ip/address.hpp>

namespace gwt {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr int acceptBacklog = 1024;

} // namespace

Outcome<Endpoint> openListener(tcp::acceptor &acceptor, const Endpoint &local,
                               int receiveBufferBytes)
{
    boost::system::error_code failure;
    const auto address = asio::ip::make_address(local.address, failure);
    const tcp::endpoint endpoint(address, local.port);
    if (!failure)
        acceptor.open(endpoint.protocol(), failure);
    if (!failure)
        acceptor.set_option(tcp::acceptor::reuse_address(true), failure);
    if (!failure && receiveBufferBytes > 0) {
        boost::system::error_code ignored; // without it the system's default holds
        acceptor.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes), ignored);
    }
    if (!failure)
        acceptor.bind(endpoint, failure);
    if (!failure)
        acceptor.listen(acceptBacklog, failure);
    if (failure) {
        boost::system::error_code ignored;
        acceptor.close(ignored); // so that the caller can retry
        return Error{ErrorCode::Unavailable, "listen_failed",
                     toString(local) + ": " + failure.message()};
    }
    return Endpoint(local.address, acceptor.local_endpoint(failure).port());
}

} // namespace gwt
