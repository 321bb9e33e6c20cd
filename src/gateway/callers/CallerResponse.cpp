#include "gateway/callers/CallerResponse.h"

#include <boost/beast/http/status.hpp>

namespace gwt {

namespace http = boost::beast::http;

namespace {

/// \brief Empty for a status without a name, unlike obsolete_reason().
std::string reasonOf(unsigned status)
{
    const http::status named = http::int_to_status(status);
    return named == http::status::unknown ? std::string()
                                          : std::string(http::obsolete_reason(named));
}

} // namespace

std::string toWire(const CallerResponse &response, bool isHead, bool keepAlive)
{
    std::string text;
    text.reserve(256 + response.body.size());
    text.append("HTTP/1.1 ").append(std::to_string(response.status)).append(" ");
    text.append(reasonOf(response.status)).append("\r\n");
    for (const auto &[name, value] : response.fields)
        text.append(name).append(": ").append(value).append("\r\n");
    text.append("Content-Length: ").append(std::to_string(response.body.size())).append("\r\n");
    if (!keepAlive)
        text.append("Connection: close\r\n");
    text.append("\r\n");
    if (!isHead)
        text.append(response.body);
    return text;
}

} // namespace gwt
