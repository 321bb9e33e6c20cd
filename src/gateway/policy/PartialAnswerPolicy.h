#pragma once

#include "common/Time.h"

#include <cstddef>

namespace gwt {

/// \brief Progress of a query that fans out to several shards.
struct QueryProgress
{
    std::size_t shards = 0;
    std::size_t answered = 0;
    std::size_t pending = 0; ///< shards that may still answer
    double minShare = 1; ///< minimum share of the shards; an answer with fewer is a failure
    Duration target{0}; ///< latency within which an answer has its full value
    Duration elapsed{0}; ///< since the query arrived
    Duration reserved{0}; ///< part of the target for the network and for writing the answer
};

enum class QueryDecision {
    Wait, ///< more shards may still answer in time
    Answer, ///< answer with the shards that have answered
    GiveUp ///< the minimum coverage can no longer be reached
};

/// \brief Decides when a fan-out query is answered, and with which coverage.
///
/// Handles stragglers among many shards: a partial answer with the minimum coverage just before
/// the target is worth more than a complete one after it.
class PartialAnswerPolicy
{
public:
    static QueryDecision decide(const QueryProgress &progress);
    /// \brief Time since arrival from which a query with the minimum coverage is answered.
    static Duration cutoff(Duration target, Duration reserved);
    /// \brief Minimum number of shards in an answer; at least one.
    static std::size_t minShards(std::size_t shards, double minShare);
};

} // namespace gwt
