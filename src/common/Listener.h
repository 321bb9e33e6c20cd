#pragma once

#include "common/Endpoint.h"
#include "common/Outcome.h"

#include <boost/asio/ip/tcp.hpp>

namespace gwt {

/// \brief Binds \a acceptor to \a local and listens; returns the address with the bound port.
///
/// Port 0 selects a free port. \a receiveBufferBytes is the kernel's for each connection; 0: its
/// default. Errors: Unavailable "listen_failed" with the address as detail.
Outcome<Endpoint> openListener(boost::asio::ip::tcp::acceptor &acceptor, const Endpoint &local,
                               int receiveBufferBytes = 0);

} // namespace gwt
