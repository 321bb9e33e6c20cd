#pragma once

#include "common/Outcome.h"

#include <string>

namespace gwt {

/// \brief The body of POST /v1/bookings.
struct BookingBody
{
    std::string index;
    std::string rank;
    std::string service; ///< empty: the entry chooses a service by the key
    std::string payload; ///< JSON text
};

/// \brief Parses \a body; unknown fields are errors.
///
/// Errors: InvalidArgument "bad_json", or "bad_request" with the field and its problem as detail.
Outcome<BookingBody> parseBookingBody(const std::string &body);

/// \brief Whether \a key can be used in a URL and a journal: 1 to 200 visible ASCII characters
/// other than '/', '%', '?' and '#'.
bool isValidBookingKey(const std::string &key);

} // namespace gwt
