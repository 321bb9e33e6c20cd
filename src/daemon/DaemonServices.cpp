#include "daemon/DaemonServices.h"

namespace gwt {

namespace {

constexpr Milliseconds peerConnectTimeout{1000};

Member selfOf(const DaemonOptions &options)
{
    Member self;
    self.id = options.name;
    self.role = options.role;
    self.host = options.host;
    self.availabilityZone = options.availabilityZone;
    self.peerAddress = options.peer;
    self.gossipAddress = options.gossip;
    return self;
}

GossipSeeds seedsOf(const DaemonOptions &options)
{
    GossipSeeds seeds{options.seeds, options.hostPrefix, {}};
    for (const auto &[role, port] : options.gossipPorts)
        seeds.ports.push_back(port);
    return seeds;
}

DistributionOptions distributionOptions(const DaemonOptions &options)
{
    DistributionOptions distribution;
    distribution.selfId = options.name;
    distribution.availabilityZone = options.availabilityZone;
    return distribution;
}

} // namespace

DaemonServices::DaemonServices(DaemonOptions daemonOptions, const PlatformFactory &connectPlatform)
    : options(std::move(daemonOptions))
    , pool(options.workers)
    , serverMemory(options.hostLimits, metrics)
    , httpClient(pool.executor())
    , platform(connectPlatform(pool.executor(), httpClient, options.platform))
    , store(platform->store())
    , hostList(platform->hostList())
    , membership(pool.executor(), hostList, metrics, selfOf(options), seedsOf(options), {})
    , peerClient(pool.executor(), peerConnectTimeout, metrics)
    , peerMemory(serverMemory)
    , peerServer(pool.executor(), &peerMemory)
    , follower(pool.executor(), store, config, membership, peerClient, peerServer, metrics,
               distributionOptions(options))
{ }

} // namespace gwt
