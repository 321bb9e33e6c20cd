#pragma once

namespace gwt {

/// \brief How a request of a caller ended.
enum class RequestEnd {
    Served, ///< with a response of backend servers
    Partial, ///< served, with some shards missing
    Refused, ///< not run; usually answered with Retry-After
    Failed, ///< no usable response
    Abandoned ///< the caller disconnected first
};

/// \brief Returns the stable lower-case name of \a end, as used in logs and metrics.
const char *toString(RequestEnd end);

} // namespace gwt
