#pragma once

#include <string>
#include <string_view>
#include <utility>

namespace gwt {

/// \brief Category of a failure; callers branch on it, never on the text.
enum class ErrorCode {
    InvalidArgument, ///< the request itself is invalid; retrying it can't help
    NotFound, ///< the named object does not exist
    Conflict, ///< a version precondition failed; the change had no effect
    NotRun, ///< proven: the operation was not started
    Overloaded, ///< rejected by a limit; proven not started
    Unavailable, ///< the peer could not be reached; proven not started
    Timeout, ///< the deadline expired; the effect is unknown
    Cancelled, ///< the caller cancelled; the effect is unknown
    Unknown, ///< sent without a usable reply; the effect is unknown
    Malformed, ///< the peer violated the protocol
    Internal ///< an error in this process
};

/// \brief Stable lower-case name of \a code, as used in logs, metrics and JSON.
std::string_view toString(ErrorCode code);

/// \brief Returns whether \a code proves that the operation was not started.
bool provesNotRun(ErrorCode code);

/// \brief A failure, returned as a value instead of thrown.
struct Error
{
    ErrorCode code = ErrorCode::Internal;
    std::string reason; ///< stable snake_case identifier, used as metric label
    std::string detail; ///< human-readable text; may be empty

    // Not an aggregate: g++ 12 destroys brace-initialized aggregates in co_await expressions twice.
    Error() = default;
    Error(ErrorCode errorCode, std::string errorReason, std::string errorDetail = {})
        : code(errorCode)
        , reason(std::move(errorReason))
        , detail(std::move(errorDetail))
    { }
};

} // namespace gwt
