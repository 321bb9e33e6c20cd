#pragma once

#include "common/Time.h"
#include "gateway/callers/CallerExchange.h"

#include <optional>
#include <string>

namespace gwt {

/// Retry-After of a process that has just started and has no configuration yet.
inline constexpr Milliseconds startupRetryAfter{200};

/// \brief Builds an error response of the gateway itself; \a retryAfter sets Retry-After, in
/// seconds.
CallerResponse makeRefusal(unsigned status, const std::string &reason,
                           std::optional<Milliseconds> retryAfter = std::nullopt);

} // namespace gwt
