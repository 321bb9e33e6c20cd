#include "common/Endpoint.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace gwt {

std::string toString(const Endpoint &endpoint)
{
    const bool isV6 = endpoint.address.find(':') != std::string::npos;
    const std::string host = isV6 ? "[" + endpoint.address + "]" : endpoint.address;
    return host + ":" + std::to_string(endpoint.port);
}

Outcome<Endpoint> parseEndpoint(const std::string &text)
{
    const Error malformed{ErrorCode::InvalidArgument, "bad_endpoint",
                          "\"" + text + "\" is not of the form IP:PORT"};
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return malformed;
    std::string host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    boost::system::error_code failure;
    const auto address = boost::asio::ip::make_address(host, failure);
    if (failure)
        return malformed;
    Endpoint endpoint{address.to_string(), 0};
    const char *first = text.data() + colon + 1;
    const char *last = text.data() + text.size();
    const auto [end, code] = std::from_chars(first, last, endpoint.port);
    if (code != std::errc() || end != last || first == last)
        return malformed;
    return endpoint;
}

} // namespace gwt
