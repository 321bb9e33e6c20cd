#pragma once

#include <optional>
#include <string_view>

namespace gwt::internal {

/// \brief Finds the 1-based line of the first non-ASCII character outside strings and comments.
///
/// TOML allows none there. Input with one must not reach the parser library, whose classification
/// of such characters has undefined behaviour.
std::optional<int> lineOfUnquotedNonAscii(std::string_view text);

} // namespace gwt::internal
