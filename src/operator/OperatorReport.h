#pragma once

#include "common/Error.h"
#include "daemon/CommandLine.h"

#include <boost/json.hpp>

#include <string>

namespace gwt {

/// \brief Result of a gwtctl command: text for people and one JSON object for programs.
struct OperatorReport
{
    int exitStatus = exitOk; ///< exitOk, exitFailure or exitUsage
    std::string text; ///< lines, each ending in a newline
    boost::json::object json;

    /// \brief Creates a report of \a error with exitFailure; \a what says what failed.
    static OperatorReport failure(const std::string &what, const Error &error);
};

} // namespace gwt
