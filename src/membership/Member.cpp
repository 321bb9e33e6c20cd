#include "membership/Member.h"

#include <array>

namespace gwt {

std::string_view toString(Role role)
{
    static constexpr std::array<std::string_view, 3> names = {"entry", "relay", "booking"};
    return names[static_cast<std::size_t>(role)];
}

std::string_view toString(MemberState state)
{
    static constexpr std::array<std::string_view, 4> names
        = {"alive", "suspect", "leaving", "dead"};
    return names[static_cast<std::size_t>(state)];
}

} // namespace gwt
