#pragma once

#include "gateway/forwarding/ForwardingContext.h"

#include <cstddef>
#include <string>
#include <vector>

namespace gwt {

/// \brief Backoff for the caller of a request that was refused at \a now without having run.
///
/// It covers the recent overload and, while fewer than \a needed of \a services have a backend
/// server that accepts requests, the time until \a needed of them are expected to have one.
Milliseconds adviseRetryAfter(ForwardingContext &context, const RequestPlan &plan,
                              const std::vector<std::string> &services, std::size_t needed,
                              TimePoint now);

} // namespace gwt
