#pragma once

#include "common/Outcome.h"

#include <compare>
#include <cstdint>
#include <string>

namespace gwt {

/// \brief A numeric IP address and a port.
struct Endpoint
{
    std::string address;
    std::uint16_t port = 0;

    Endpoint() = default;
    Endpoint(std::string ip, std::uint16_t number)
        : address(std::move(ip))
        , port(number)
    { }

    auto operator<=>(const Endpoint &) const = default;
};

/// \brief Formats \a endpoint as "a.b.c.d:port" or "[v6]:port".
std::string toString(const Endpoint &endpoint);

/// \brief Parses the format written by toString(). Host names are rejected.
Outcome<Endpoint> parseEndpoint(const std::string &text);

} // namespace gwt
