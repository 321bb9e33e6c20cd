#pragma once

#include "http/HttpClient.h"

namespace gwt {

/// \brief Reads how many searches have taken a slot of any stand-in backend server so far.
///
/// Errors: those of HttpClient::send(), and Malformed "bad_counts".
Task<Outcome<std::uint64_t>> readStartedSearches(HttpClient &client, Endpoint backendAdmin);

} // namespace gwt
