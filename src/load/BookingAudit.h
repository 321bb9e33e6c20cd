#pragma once

#include "http/HttpClient.h"
#include "load/StreamReport.h"

#include <string>
#include <vector>

namespace gwt {

/// \brief Checks the replies to bookings against the executions that the stand-in backend servers
/// recorded.
///
/// Returns one line per violation: a key that ran more than once, a booking reported as done that
/// did not run with that result, a booking reported as not run that ran.
Task<std::vector<std::string>> auditBookings(HttpClient &client, Endpoint backendAdmin,
                                             std::vector<StreamReport> reports);

} // namespace gwt
