#pragma once

#include "common/Outcome.h"
#include "common/Time.h"

#include <optional>
#include <string>

namespace gwt {

/// \brief The body of POST /v1/search.
struct SearchRequest
{
    std::string index;
    std::string rank;
    std::string query;
    std::uint32_t limit = 10;
    std::optional<Milliseconds> deadline; ///< time to answer, at most the rank's target
};

/// \brief Parses the body of POST /v1/search; unknown fields are errors.
///
/// Errors: InvalidArgument "bad_json", or "bad_request" with the field and its problem as detail.
Outcome<SearchRequest> parseSearchRequest(const std::string &body);

} // namespace gwt
