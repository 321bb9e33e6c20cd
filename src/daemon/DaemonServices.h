#pragma once

#include "common/Metrics.h"
#include "common/WorkerPool.h"
#include "control/ConfigHolder.h"
#include "daemon/DaemonOptions.h"
#include "daemon/PeerMemory.h"
#include "daemon/Readiness.h"
#include "distribution/ConfigDistributor.h"
#include "http/HttpClient.h"
#include "http/ServerMemory.h"
#include "membership/GossipMembership.h"
#include "peer/PeerClient.h"
#include "peer/PeerServer.h"
#include "platform/PlatformAccess.h"

namespace gwt {

/// \brief The services shared by all roles; members are in order of construction.
struct DaemonServices
{
    DaemonServices(DaemonOptions daemonOptions, const PlatformFactory &connectPlatform);

    DaemonOptions options;
    WorkerPool pool;
    Metrics metrics;
    ServerMemory serverMemory; ///< of all HTTP servers of this process
    Readiness readiness;
    HttpClient httpClient;
    std::unique_ptr<PlatformAccess> platform; ///< never null
    ObjectStore &store;
    HostList &hostList;
    ConfigHolder config;
    GossipMembership membership;
    PeerClient peerClient;
    PeerMemory peerMemory;
    PeerServer peerServer;
    ConfigDistributor follower;
};

} // namespace gwt
