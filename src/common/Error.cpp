#include "common/Error.h"

#include <array>
#include <utility>

namespace gwt {

std::string_view toString(ErrorCode code)
{
    static constexpr std::array<std::string_view, 11> names = {
        "invalid_argument", "not_found", "conflict", "not_run",   "overloaded", "unavailable",
        "timeout",          "cancelled", "unknown",  "malformed", "internal",
    };
    return names[static_cast<std::size_t>(code)];
}

bool provesNotRun(ErrorCode code)
{
    switch (code) {
    case ErrorCode::InvalidArgument:
    case ErrorCode::NotFound:
    case ErrorCode::Conflict:
    case ErrorCode::NotRun:
    case ErrorCode::Overloaded:
    case ErrorCode::Unavailable:
        return true;
    default:
        return false;
    }
}

} // namespace gwt
