#pragma once

#include <set>
#include <string>

namespace gwt {

/// \brief Names of the objects that were added, changed or removed, by kind.
struct ChangedNames
{
    std::set<std::string> places;
    std::set<std::string> services;
    std::set<std::string> backendServers;
    std::set<std::string> ranks;
};

} // namespace gwt
