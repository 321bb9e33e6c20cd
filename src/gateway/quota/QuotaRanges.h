#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace gwt {

/// Teams are divided into as many ranges as there are processes that follow the store, so that the
/// loss of one coordinator affects a third of the teams.
inline constexpr std::size_t quotaRangeCount = 3;

/// \brief Returns the range of \a team, the same in all processes.
std::size_t quotaRangeOf(std::string_view team);
/// \brief Returns the name of the lease of \a range.
std::string quotaLeaseName(std::size_t range);

} // namespace gwt
