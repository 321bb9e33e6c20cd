#pragma once

#include "common/Endpoint.h"
#include "common/Task.h"
#include "common/Time.h"

#include <boost/asio/ip/tcp.hpp>

namespace gwt {

/// \brief Connects \a socket to \a remote. Returns \c asio::error::timed_out after \a timeout.
Task<boost::system::error_code> connectWithin(asio::ip::tcp::socket &socket, Endpoint remote,
                                              Milliseconds timeout);

/// \brief True if the host of \a remote refuses a connection, which proves that no process listens
/// there. False if the host does not respond within \a timeout or the process is suspended.
Task<bool> refusesConnections(Endpoint remote, Milliseconds timeout);

} // namespace gwt
