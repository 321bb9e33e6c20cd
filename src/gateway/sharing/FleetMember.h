#pragma once

#include "common/Endpoint.h"

#include <string>

namespace gwt {

/// \brief A gateway process of the fleet.
struct FleetMember
{
    std::string name;
    Endpoint peer; ///< address on which other gateway processes reach it
    std::string availabilityZone; ///< empty if unknown

    bool operator==(const FleetMember &) const = default;
};

} // namespace gwt
