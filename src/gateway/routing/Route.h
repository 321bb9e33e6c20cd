#pragma once

#include "common/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace gwt {

/// \brief A service that gets a share of a route's requests.
struct WeightedService
{
    std::string service;
    double weight = 1; ///< relative to the other services of the route
};

/// \brief What a route asks of the shards that it queries.
struct ShardQuery
{
    std::vector<std::string> shards; ///< names of services; empty: the route goes to one server
    std::size_t topRecords = 0; ///< records in the merged answer
    double minShare = 1; ///< of the shards, below which an answer is a failure
};

/// \brief Where requests of one host and path prefix go, and within which bounds.
struct Route
{
    std::string name;
    std::string host;
    std::string pathPrefix; ///< starts and ends with a slash
    bool isIdempotent = false; ///< requests may run more than once
    int rank = 0; ///< 0 is the most urgent
    int maxAttempts = 1; ///< backend servers that one request, or one of its legs, may run on
    Milliseconds timeout{0}; ///< longest time that a caller is kept waiting
    Milliseconds target{0}; ///< time within which an answer has its full worth
    std::vector<WeightedService> services; ///< of a route to one server
    ShardQuery query;

    bool isShardQuery() const { return !query.shards.empty(); }
};

/// \brief A set of interchangeable backend servers, as the operator describes it.
struct ServiceSpec
{
    std::string name;
    std::string healthPath;
    int maxConnections = 0; ///< that each of its backend servers accepts from all callers
};

/// \brief Bounds on what a caller may send; zero stands for no bound given.
struct RequestLimits
{
    std::size_t maxHeaderBytes = 16384;
    std::size_t maxBodyBytes = 262144;
    Milliseconds headerTimeout{3000};
    Milliseconds idleTimeout{15000};
};

/// \brief One version of the operator's configuration; immutable once it is published.
struct RoutingConfig
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<ServiceSpec> services;
    RequestLimits limits;
};

} // namespace gwt
