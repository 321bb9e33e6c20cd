#pragma once

#include "common/Outcome.h"

#include <string>

namespace gwt {

/// \brief Returns a table of each figure in the JSON reports \a a and \a b, and of b / a.
///
/// Holds only the streams that are in both. Errors: InvalidArgument if one is not a report.
Outcome<std::string> compareReports(const std::string &a, const std::string &b);

} // namespace gwt
