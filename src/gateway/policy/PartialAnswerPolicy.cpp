#include "gateway/policy/PartialAnswerPolicy.h"

#include <cmath>

namespace gwt {

namespace {

constexpr double roundingTolerance
    = 1e-9; ///< keeps 0.9 of 20 at 18 despite floating-point rounding
constexpr int maxReservedDivisor = 2; ///< leaves at least half of the target to the backend servers

} // namespace

std::size_t PartialAnswerPolicy::minShards(std::size_t shards, double minShare)
{
    const double required = std::ceil(static_cast<double>(shards) * minShare - roundingTolerance);
    return std::max<std::size_t>(1, static_cast<std::size_t>(std::max(0.0, required)));
}

Duration PartialAnswerPolicy::cutoff(Duration target, Duration reserved)
{
    return target - std::min(reserved, target / maxReservedDivisor);
}

QueryDecision PartialAnswerPolicy::decide(const QueryProgress &progress)
{
    const std::size_t required = minShards(progress.shards, progress.minShare);
    if (progress.answered + progress.pending < required)
        return QueryDecision::GiveUp;
    if (progress.pending == 0)
        return QueryDecision::Answer;
    const bool isDue = progress.elapsed >= cutoff(progress.target, progress.reserved);
    return isDue && progress.answered >= required ? QueryDecision::Answer : QueryDecision::Wait;
}

} // namespace gwt
