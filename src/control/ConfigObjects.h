#pragma once

#include "common/Endpoint.h"
#include "common/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace gwt {

/// \brief An availability zone of a region.
struct Place
{
    std::string name;
    std::string region;
    std::string availabilityZone;

    bool operator==(const Place &) const = default;
};

/// \brief One shard of an index, served by the backend servers that refer to it.
struct Service
{
    std::string name;
    std::string index;
    std::string slice; ///< all services of a slice are owned by the same relay
    Milliseconds deadline{1000}; ///< longest time that an attempt may take in a backend server

    bool operator==(const Service &) const = default;
};

/// \brief A search server; one replica of its service.
struct BackendServer
{
    std::string name;
    std::string service;
    std::string place;
    Endpoint address;
    int slots = 1; ///< requests that it runs concurrently
    int connections = 1; ///< connections that it accepts from all callers together
    Milliseconds connectTime{1}; ///< typical time to open a connection
    bool isDraining = false; ///< set by the operator; it then gets no new requests

    bool operator==(const BackendServer &) const = default;
};

/// \brief A priority class of requests.
struct Rank
{
    std::string name;
    Milliseconds target{200}; ///< latency target; a later answer has no value
    double worth = 1; ///< relative value of an answer within the target
    double floorShare = 0; ///< share of slots reserved for the rank under overload, 0 to 1
    double minimumCoverage = 1; ///< an answer below this share of shards is refused, 0 to 1
    bool isHedged = false;
    bool isBackground = false; ///< queued in the entry instead of being refused

    bool operator==(const Rank &) const = default;
};

/// \brief The shard list of one version of an index, as published by its builder.
struct IndexVersion
{
    std::string index;
    std::uint64_t version = 0;
    std::vector<std::string> services;

    bool operator==(const IndexVersion &) const = default;
};

} // namespace gwt
