#pragma once

#include "common/Time.h"
#include "gateway/routing/Team.h"
#include "http/RequestSizeLimits.h"

#include <cstdint>
#include <string>
#include <vector>

namespace gwt {

/// \brief A service that receives a share of a route's requests.
struct WeightedService
{
    std::string service;
    double weight = 1; ///< relative to the other services of the route
};

/// \brief Fan-out of a route's requests to shards.
struct ShardQuery
{
    std::vector<std::string> shards; ///< names of services; empty: one server is asked
    std::size_t topRecords = 0; ///< records in the merged response
    double minShare = 1; ///< of the shards that must answer, else the request fails
};

/// \brief Where the requests of one host and path prefix go, and the limits that hold for them.
struct Route
{
    std::string name;
    std::string host;
    std::string pathPrefix; ///< starts and ends with a slash
    bool isIdempotent = false; ///< requests may run more than once
    int rank = 0; ///< priority; 0 is the most urgent
    int maxAttempts = 1; ///< backend servers that a request, or its part for one shard, may run on
    Milliseconds timeout{0}; ///< after which the request fails; 0: the default
    Milliseconds target{0}; ///< target latency; a later response is worth less
    std::vector<WeightedService> services; ///< of a route to one server
    ShardQuery query;
    bool allowsAnonymous = false; ///< where there are teams, requests need no key

    bool isShardQuery() const { return !query.shards.empty(); }
};

/// \brief A set of interchangeable backend servers, as the operator configures it.
struct ServiceSpec
{
    std::string name;
    std::string healthPath;
    int maxConnections = 0; ///< that each of its backend servers accepts from all callers
};

/// \brief Limits on what a caller may send.
struct RequestLimits : RequestSizeLimits
{
    Milliseconds headerTimeout{3000};
    Milliseconds idleTimeout{15000};
    bool isInForce = false; ///< set by a configuration, which may allow more than the defaults
};

/// \brief One version of the operator's configuration; immutable once it is published.
struct RoutingConfig
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<ServiceSpec> services;
    /// Requests carry API keys. False: fields that identify the caller are forwarded unchanged.
    bool hasTeams = false;
    std::vector<Team> teams;
    RequestLimits limits;
};

} // namespace gwt
