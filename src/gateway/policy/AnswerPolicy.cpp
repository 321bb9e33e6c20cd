#include "gateway/policy/AnswerPolicy.h"

#include <cmath>

namespace gwt {

namespace {

constexpr double rounding = 1e-9; ///< keeps 0.9 of 20 at 18 despite binary fractions
constexpr int maxDeliveryShare = 3; ///< the delivery time takes a third of the target at most

} // namespace

AnswerPolicy::AnswerPolicy(Duration deliveryTime)
    : m_deliveryTime(deliveryTime)
{ }

std::size_t AnswerPolicy::minShards(std::size_t shards, double minShare)
{
    const double least = std::ceil(static_cast<double>(shards) * minShare - rounding);
    return std::max<std::size_t>(1, static_cast<std::size_t>(std::max(0.0, least)));
}

Duration AnswerPolicy::cutoff(Duration target) const
{
    return target - std::min(m_deliveryTime, target / maxDeliveryShare);
}

QueryVerdict AnswerPolicy::decide(const QueryProgress &progress) const
{
    const std::size_t least = minShards(progress.shards, progress.minShare);
    if (progress.answered + progress.open < least)
        return QueryVerdict::GiveUp;
    if (progress.open == 0)
        return QueryVerdict::Answer;
    const bool isDue = progress.elapsed >= cutoff(progress.target);
    return isDue && progress.answered >= least ? QueryVerdict::Answer : QueryVerdict::Wait;
}

} // namespace gwt
