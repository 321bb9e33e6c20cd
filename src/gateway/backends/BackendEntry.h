#pragma once

#include "common/Endpoint.h"
#include "common/Time.h"

#include <cstdint>
#include <string>

namespace gwt {

/// \brief What a backend server has registered of itself.
struct BackendEntry
{
    std::string id;
    std::string service;
    Endpoint address;
    std::string availabilityZone;
    int slots = 1; ///< requests that it works on at the same time
    bool isDraining = false;
    Milliseconds warmupLeft{0}; ///< how much longer it is slow after its start
    std::int64_t incarnation = 0; ///< differs after a restart under the same id; 0 if not told

    bool operator==(const BackendEntry &) const = default;
};

} // namespace gwt
