#pragma once

#include "http/HttpMessage.h"
#include "http/WireRequest.h"

#include <boost/system/error_code.hpp>

#include <optional>

namespace gwt {

/// \brief Converts a parsed request; header names become lower-case.
HttpRequest toRequest(WireRequest message);
/// \brief Maps the error of reading a request to an error response; empty if none can be sent.
std::optional<HttpResponse> errorResponseFor(const boost::system::error_code &failure);
/// \brief The response to a complete request that there is no memory to handle.
HttpResponse memoryRefusal();

} // namespace gwt
