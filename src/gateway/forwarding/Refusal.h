#pragma once

#include "common/Time.h"
#include "gateway/callers/CallerExchange.h"

#include <optional>
#include <string>

namespace gwt {

/// \brief Builds an error response of the gateway itself; \a retryAfter sets Retry-After, in
/// seconds.
CallerResponse makeRefusal(unsigned status, const std::string &reason,
                           std::optional<Milliseconds> retryAfter = std::nullopt);

} // namespace gwt
