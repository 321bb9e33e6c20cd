#pragma once

#include "common/Outcome.h"
#include "common/Task.h"
#include "common/Time.h"

#include <string>
#include <vector>

namespace gwt {

/// \brief State of a host as the platform lists it; the list lags behind the host.
enum class HostState { Live, Leaving };

/// \brief A host of the daemons or of a backend server.
struct Host
{
    std::string name;
    std::string address; ///< IP address
    std::string availabilityZone;
    HostState state = HostState::Live;
};

/// \brief Lists the live and leaving hosts of the platform. Implementations are thread-safe.
class HostList
{
public:
    virtual ~HostList() = default;

    /// \brief Returns all hosts that are listed now. Errors: as of ObjectStore.
    virtual Task<Outcome<std::vector<Host>>> hosts(TimePoint deadline) = 0;
};

} // namespace gwt
