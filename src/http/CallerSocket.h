#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace gwt {

/// \brief Sets the options of an accepted connection of a caller.
///
/// Non-blocking, without delay, probed while it is silent, and with little unsent data in the
/// kernel: what a caller does not read stays in buffers that the process accounts for.
void configureCallerSocket(boost::asio::ip::tcp::socket &socket);

} // namespace gwt
