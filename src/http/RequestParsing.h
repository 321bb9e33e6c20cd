#pragma once

#include "http/HttpMessage.h"

#include <boost/beast/http.hpp>
#include <boost/system/error_code.hpp>

#include <optional>

namespace gwt {

/// \brief Converts a parsed request; header names become lower-case.
HttpRequest toRequest(boost::beast::http::request<boost::beast::http::string_body> &&message);
/// \brief Maps the error of reading a request to an error response; empty if none can be sent.
std::optional<HttpResponse> errorResponseFor(const boost::system::error_code &failure);

} // namespace gwt
