#pragma once

#include "operator/OperatorContext.h"
#include "operator/OperatorReport.h"

namespace gwt {

/// \brief gwtctl history [COUNT]: the newest generations with author, time and note.
OperatorReport runHistory(OperatorContext &context, const OperatorOptions &options);

/// \brief Parses a whole number above 0. Errors: InvalidArgument "bad_number".
Outcome<std::uint64_t> parseNumber(const std::string &text);

} // namespace gwt
