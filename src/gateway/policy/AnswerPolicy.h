#pragma once

#include "common/Time.h"

#include <cstddef>

namespace gwt {

/// \brief How far a query over shards has come.
struct QueryProgress
{
    std::size_t shards = 0;
    std::size_t answered = 0;
    std::size_t open = 0; ///< shards that may still answer
    double minShare = 1; ///< of the shards, below which an answer is a failure
    Duration target{0}; ///< within which an answer has its full worth
    Duration elapsed{0}; ///< since the query arrived
    Duration reserved{0}; ///< of the target, for the caller's way and for writing the answer
};

enum class QueryVerdict {
    Wait, ///< more shards may still answer in time
    Answer, ///< answer with the shards that are in
    GiveUp ///< the minimum can no longer be reached
};

/// \brief When a query over shards is answered, and with which coverage.
///
/// Answers the pattern of a straggler among many shards: an answer just before the target with
/// the allowed coverage is worth more than a complete one after it.
class AnswerPolicy
{
public:
    static QueryVerdict decide(const QueryProgress &progress);
    /// \brief Time since arrival at which a query with the minimum coverage is answered.
    static Duration cutoff(Duration target, Duration reserved);
    /// \brief Fewest shards that make an answer.
    static std::size_t minShards(std::size_t shards, double minShare);
};

} // namespace gwt
