#pragma once

#include "common/Endpoint.h"

#include <string>

namespace gwt {

/// \brief A gateway process of the fleet.
struct FleetMember
{
    std::string name;
    Endpoint peer; ///< where other gateway processes reach it
    std::string availabilityZone; ///< empty if it is not known

    bool operator==(const FleetMember &) const = default;
};

} // namespace gwt
