#include "QuotaCheck.h"

#include <algorithm>

namespace gwt::test {

void QuotaCheck::recordExecution(const std::string &id)
{
    Request &request = m_requests[id];
    request.executedAt = std::min(request.executedAt, Clock::now());
}

double QuotaCheck::allowedInAWindow()
{
    const double quota = s_ratePerSecond * s_window.count() + s_ratePerSecond;
    return quota * (1 + s_overage) + s_slack;
}

std::size_t QuotaCheck::mostInAWindow() const
{
    std::vector<Request> executed;
    for (const auto &[id, request] : m_requests) {
        if (request.executedAt != TimePoint::max())
            executed.push_back(request);
    }
    std::size_t most = 0;
    for (const Request &first : executed) {
        const auto count
            = std::count_if(executed.begin(), executed.end(), [&](const Request &each) {
                  return each.sentAt >= first.sentAt && each.executedAt <= first.sentAt + s_window;
              });
        most = std::max(most, static_cast<std::size_t>(count));
    }
    return most;
}

std::size_t QuotaCheck::executedSince(TimePoint time) const
{
    return static_cast<std::size_t>(
        std::count_if(m_requests.begin(), m_requests.end(), [time](const auto &each) {
            return each.second.executedAt >= time && each.second.executedAt != TimePoint::max();
        }));
}

} // namespace gwt::test
