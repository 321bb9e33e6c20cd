#include "gateway/backends/ServerWork.h"

#include <algorithm>
#include <cmath>

namespace gwt {

ServerWork::ServerWork(ServerWorkRules rules)
    : m_rules(rules)
{ }

double ServerWork::decay(TimePoint since, Duration halfLife, TimePoint now) const
{
    const double halfLives
        = std::chrono::duration<double>(now - since) / std::chrono::duration<double>(halfLife);
    return std::exp2(-std::max(0.0, halfLives));
}

void ServerWork::begin(std::uint64_t id, const CostEstimate &estimate, int slots, TimePoint now)
{
    m_slots = static_cast<std::size_t>(std::max(1, slots));
    const TimePoint start = m_requests.size() < m_slots ? now : TimePoint::max();
    const Span leastLeft = Span(std::min(estimate.spread, estimate.mean)) / 2;
    m_requests.push_back({id, estimate.mean, leastLeft, now, start});
}

void ServerWork::end(std::uint64_t id, TimePoint now)
{
    std::erase_if(m_requests, [&](const Request &request) { return request.id == id; });
    for (std::size_t i = 0; i < std::min(m_slots, m_requests.size()); ++i)
        m_requests[i].startedAt = std::min(m_requests[i].startedAt, now);
}

Duration ServerWork::waited(std::uint64_t id, TimePoint now) const
{
    const auto request = std::find_if(m_requests.begin(), m_requests.end(),
                                      [&](const Request &each) { return each.id == id; });
    if (request == m_requests.end())
        return Duration::zero();
    return std::min(request->startedAt, now) - request->sentAt;
}

void ServerWork::recordPace(double ratio, double weight, TimePoint now)
{
    const double kept = decay(m_paceUpdated, m_rules.paceHalfLife, now);
    m_ratioSum
        = m_ratioSum * kept + weight * std::clamp(ratio, 1 / m_rules.maxRatio, m_rules.maxRatio);
    m_ratioWeight = m_ratioWeight * kept + weight;
    m_paceUpdated = now;
    if (m_ratioWeight > m_rules.maxPaceWeight) {
        m_ratioSum *= m_rules.maxPaceWeight / m_ratioWeight;
        m_ratioWeight = m_rules.maxPaceWeight;
    }
}

void ServerWork::recordReport(const LoadReport &report, TimePoint now)
{
    constexpr double usualPace = 100;
    m_reportedSlowdown = std::clamp(usualPace / report.pace, 1.0, m_rules.maxReportedSlowdown);
    const int others = std::max(0, report.running + report.waiting - inFlight());
    const double perSlot = static_cast<double>(others) / report.slots;
    m_reportedLoad = m_rules.maxReportedLoad * std::min(1.0, perSlot);
    m_reportedAt = now;
}

double ServerWork::pace(TimePoint now) const
{
    if (m_ratioWeight == 0)
        return m_reportedSlowdown;
    // Within 1/64 of the half-life the weights lose 1 %, which is not worth an exponential function
    // in each decision.
    const bool isRecent = now - m_paceUpdated <= m_rules.paceHalfLife / 64;
    const double kept = isRecent ? 1 : decay(m_paceUpdated, m_rules.paceHalfLife, now);
    return (m_ratioSum * kept + m_rules.pacePrior * m_reportedSlowdown)
        / (m_ratioWeight * kept + m_rules.pacePrior);
}

ServerWork::Span ServerWork::workLeft(double pace, TimePoint now) const
{
    const double speed = 1 / pace;
    Span sum{0};
    for (const Request &request : m_requests) {
        if (request.startedAt == TimePoint::max()) {
            sum += request.cost;
            continue;
        }
        // A request beyond its estimate is expected to need as long again as it is overdue, so
        // that a server that hangs is avoided.
        const Span left = request.cost - Span(now - request.startedAt) * speed;
        sum += std::max(request.leastLeft, left < Span::zero() ? -left : left);
    }
    return sum;
}

double ServerWork::reportedLoad(TimePoint now) const
{
    if (m_reportedLoad == 0)
        return 0;
    return m_reportedLoad * decay(m_reportedAt, m_rules.reportHalfLife, now);
}

} // namespace gwt
