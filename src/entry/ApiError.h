#pragma once

#include "common/Time.h"
#include "http/HttpMessage.h"

#include <optional>
#include <string>

namespace gwt {

/// \brief Whether a refused request may have been run; part of every error response.
enum class RunStatus { NotRun, Unknown };

/// \brief Builds an error response: {"error":{code, message, run, request_id}}.
///
/// \a code is stable across releases. \a retryAfter becomes a Retry-After header in whole seconds,
/// rounded up, at least 1.
HttpResponse apiError(int status, const std::string &code, const std::string &message,
                      RunStatus run, const std::string &requestId,
                      std::optional<Milliseconds> retryAfter = std::nullopt);

} // namespace gwt
