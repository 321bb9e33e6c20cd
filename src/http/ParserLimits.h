#pragma once

#include <cstddef>

namespace gwt {

/// \brief Limit in bytes on what a parser of Boost.Beast has left unparsed, such as an incomplete
/// trailer, for which it has no limit of its own. Its fields throw from 64 KiB.
inline constexpr std::size_t maxUnparsedBytes = 32768;

} // namespace gwt
