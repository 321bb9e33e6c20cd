#include "gateway/policy/CallerWaitEstimator.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace gwt {

Duration CallerWaitEstimator::waitedBefore(const std::string &route, Milliseconds allowed)
{
    std::deque<Milliseconds> &samples = m_allowed[route];
    samples.push_back(allowed);
    if (samples.size() > s_samples)
        samples.pop_front();
    std::vector<Milliseconds> sorted(samples.begin(), samples.end());
    const auto usual = sorted.begin()
        + static_cast<std::ptrdiff_t>(static_cast<double>(sorted.size()) * s_usualShare);
    std::nth_element(sorted.begin(), usual, sorted.end(), std::greater<>());
    return std::max(Milliseconds(0), *usual - allowed);
}

void CallerWaitEstimator::retain(const std::set<std::string> &routeNames)
{
    std::erase_if(m_allowed, [&](const auto &each) { return !routeNames.contains(each.first); });
}

} // namespace gwt
