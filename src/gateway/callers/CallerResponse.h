#pragma once

#include <string>
#include <utility>
#include <vector>

namespace gwt {

/// \brief A response to a caller; Content-Length and Connection are added by toWire().
struct CallerResponse
{
    unsigned status = 200;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
};

/// \brief Returns the bytes of \a response; \a isHead leaves out the body, as for HEAD.
std::string toWire(const CallerResponse &response, bool isHead, bool keepAlive);

} // namespace gwt
