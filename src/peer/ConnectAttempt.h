#pragma once

#include "common/Endpoint.h"
#include "common/Task.h"
#include "common/Time.h"

#include <boost/asio/ip/tcp.hpp>

namespace gwt {

/// \brief Connects \a socket to \a remote. Returns \c asio::error::timed_out after \a timeout.
Task<boost::system::error_code> connectWithin(asio::ip::tcp::socket &socket, Endpoint remote,
                                              Milliseconds timeout);

/// \brief True if a connection to \a remote is refused. Only on the same host does this prove that
/// no process listens there: cuts between hosts refuse connections too. False if there is no
/// response within \a timeout, as from a suspended process with a full queue.
Task<bool> refusesConnections(Endpoint remote, Milliseconds timeout);

} // namespace gwt
