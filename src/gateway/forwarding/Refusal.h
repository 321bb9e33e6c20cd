#pragma once

#include "common/Time.h"
#include "gateway/callers/CallerExchange.h"

#include <optional>
#include <string>

namespace gwt {

/// \brief An answer of the gateway's own with a reason; \a retryAfter tells when to come back.
CallerResponse makeRefusal(unsigned status, const std::string &reason,
                           std::optional<Milliseconds> retryAfter = std::nullopt);

} // namespace gwt
