#include "gateway/backends/CostSample.h"

#include <algorithm>

namespace gwt {

namespace {

/// Least share of the elapsed time that counts as cost: the wait may be wrong.
constexpr int leastCostDivisor = 4;

} // namespace

double medianPace(std::vector<double> paces)
{
    if (paces.empty())
        return 1;
    const auto middle = paces.begin() + static_cast<std::ptrdiff_t>((paces.size() - 1) / 2);
    std::nth_element(paces.begin(), middle, paces.end());
    return *middle;
}

CostSample makeCostSample(Duration elapsed, Duration wait, Duration expectedCost, double pace,
                          double median)
{
    const Duration busy = std::max(elapsed - wait, elapsed / leastCostDivisor);
    const Duration least = std::chrono::microseconds(100);
    CostSample sample;
    sample.cost = std::chrono::duration_cast<Duration>(busy * (median / pace));
    sample.paceRatio = std::chrono::duration<double>(busy)
        / std::chrono::duration<double>(std::max(expectedCost, least));
    const Duration cost = std::max(expectedCost, least);
    sample.paceWeight
        = std::chrono::duration<double>(cost) / std::chrono::duration<double>(cost + wait);
    return sample;
}

} // namespace gwt
