#include "gateway/policy/CallerWaitEstimator.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace gwt {

Duration CallerWaitEstimator::waitedBefore(const std::string &route, Milliseconds allowed)
{
    std::deque<Milliseconds> &samples = m_timeouts[route];
    samples.push_back(allowed);
    if (samples.size() > s_maxSamples)
        samples.pop_front();
    std::vector<Milliseconds> sorted(samples.begin(), samples.end());
    const auto usualTimeout = sorted.begin()
        + static_cast<std::ptrdiff_t>(static_cast<double>(sorted.size()) * s_usualTimeoutShare);
    std::nth_element(sorted.begin(), usualTimeout, sorted.end(), std::greater<>());
    return std::max(Milliseconds(0), *usualTimeout - allowed);
}

void CallerWaitEstimator::retain(const std::set<std::string> &routeNames)
{
    std::erase_if(m_timeouts, [&](const auto &each) { return !routeNames.contains(each.first); });
}

} // namespace gwt
