#pragma once

/// \brief Terminates the process if \a condition is false and reports the violated assumption.
///
/// For programming errors only; invalid input is reported as an Outcome.
#define GWT_ASSERT(condition, assumption) \
    do { \
        if (!(condition)) \
            ::gwt::internal::assertionFailed(#condition, assumption, __FILE__, __LINE__); \
    } while (false)

namespace gwt::internal {

[[noreturn]] void assertionFailed(const char *condition, const char *assumption, const char *file,
                                  int line);

} // namespace gwt::internal
