#pragma once

#include "common/Endpoint.h"
#include "common/Time.h"

#include <cstdint>
#include <string>

namespace gwt {

/// \brief Registration of a backend server, as it describes itself.
struct BackendEntry
{
    std::string id;
    std::string service;
    Endpoint address;
    std::string availabilityZone;
    int slots = 1; ///< requests that it runs concurrently
    bool isDraining = false;
    Milliseconds warmupLeft{0}; ///< how much longer it stays slow after its start
    std::int64_t incarnation = 0; ///< changes with a restart under the same id; 0 if not reported

    bool operator==(const BackendEntry &) const = default;
};

} // namespace gwt
