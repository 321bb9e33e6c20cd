#pragma once

#include "common/Settings.h"
#include "http/HostLimits.h"
#include "membership/Member.h"

#include <map>
#include <string>

namespace gwt {

/// \brief The settings that all daemons share.
struct DaemonOptions
{
    std::string name; ///< unique in the fleet
    std::string host;
    std::string availabilityZone;
    Endpoint admin; ///< /healthz, /readyz, /metrics, /status
    Endpoint peer; ///< for calls from other daemons
    Endpoint platform;
    int workers = 2;
    std::string logLevel;
    Milliseconds drainInterval{0}; ///< how long to keep accepting requests while draining
    Milliseconds drainBound{0}; ///< then, how long to wait for requests in progress
    std::string hostPrefix; ///< prefix of the names of our own hosts in the platform's list
    std::map<Role, std::uint16_t> peerPorts; ///< the same on every host
    Role role = Role::Entry;
    Endpoint gossip; ///< UDP; by default the peer address with the role's gossip port
    std::map<Role, std::uint16_t> gossipPorts; ///< the same on every host
    HostLimits hostLimits; ///< of this process
    std::vector<Endpoint> seeds; ///< gossip addresses to join through, in addition to our own hosts

    static DaemonOptions read(Settings &settings, Role role);
};

} // namespace gwt
