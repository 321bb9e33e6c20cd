#pragma once

#include <cstddef>

namespace gwt {

/// \brief Limits on the size of one request, in bytes.
struct RequestSizeLimits
{
    std::size_t maxHeaderBytes = 16384; ///< of the request line with the header
    std::size_t maxBodyBytes = 262144;
};

} // namespace gwt
