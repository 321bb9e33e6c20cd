#include "entry/admission/SliceLoadTable.h"

#include <algorithm>

namespace gwt {

namespace {

constexpr double usedShare = 0.4; ///< a limit that is used less than this does not grow
constexpr double largestDecrease = 0.15; ///< max. decrease per interval, as a share of the limit
constexpr Milliseconds decreaseInterval{50};
constexpr double reportWeight = 0.25; ///< weight of a new report in the mean queue delay

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

Duration ServiceLoadEstimate::queueDelayAt(TimePoint now) const
{
    return std::max(Duration::zero(), queueDelay - (now - reportedAt));
}

Duration ServiceLoadEstimate::queueDelayAt(TimePoint now, double worth) const
{
    const Duration delay = queueDelayAt(now);
    return inFlight == 0 ? delay : delay * inFlightFrom(worth) / inFlight;
}

double ServiceLoadEstimate::capacity() const
{
    const double seconds = toSeconds(serviceTime);
    return seconds > 0 ? slots / seconds : 0;
}

int ServiceLoadEstimate::inFlightOf(double worth) const
{
    const auto rank = inFlightByWorth.find(worth);
    return rank == inFlightByWorth.end() ? 0 : rank->second;
}

int ServiceLoadEstimate::inFlightFrom(double worth) const
{
    int legs = 0;
    for (auto rank = inFlightByWorth.lower_bound(worth); rank != inFlightByWorth.end(); ++rank)
        legs += rank->second;
    return legs;
}

SliceLoadTable::SliceLoadTable(ConcurrencyOptions options)
    : m_options(options)
{
    m_unknown.limit = options.initialLimit;
}

ServiceLoadEstimate &SliceLoadTable::entryOf(const std::string &service)
{
    return m_services.try_emplace(service, m_unknown).first->second;
}

void SliceLoadTable::start(const std::vector<std::string> &services, double worth)
{
    for (const std::string &service : services) {
        ServiceLoadEstimate &estimate = entryOf(service);
        ++estimate.inFlight;
        ++estimate.inFlightByWorth[worth];
    }
}

void SliceLoadTable::finish(const std::vector<std::string> &services, double worth)
{
    for (const std::string &service : services) {
        ServiceLoadEstimate &estimate = entryOf(service);
        --estimate.inFlight;
        --estimate.inFlightByWorth[worth];
    }
}

void SliceLoadTable::report(const ServiceLoadReport &load, int entries, TimePoint now)
{
    ServiceLoadEstimate &estimate = entryOf(load.service);
    estimate.queueDelay = load.queueDelay;
    estimate.meanQueueDelay += std::chrono::duration_cast<Duration>(
        reportWeight * (load.queueDelay - estimate.meanQueueDelay));
    estimate.slots = load.slots;
    estimate.reportedAt = now;
    if (load.serviceTime > Duration::zero())
        estimate.serviceTime = load.serviceTime;
    adaptLimit(estimate, std::max(1, entries), now);
}

void SliceLoadTable::adaptLimit(ServiceLoadEstimate &estimate, int entries, TimePoint now) const
{
    const Duration target = m_options.queueDelayTarget;
    if (estimate.meanQueueDelay <= target) {
        if (estimate.inFlight >= estimate.limit * usedShare)
            estimate.limit += 1 / estimate.limit;
    } else if (now - estimate.loweredAt >= decreaseInterval) {
        const double excess = toSeconds(estimate.meanQueueDelay - target) / toSeconds(target);
        estimate.limit *= 1 - largestDecrease * std::min(1.0, excess);
        estimate.loweredAt = now;
    }
    const double most = std::max(m_options.minimumLimit,
                                 m_options.queueFactor * std::max(1, estimate.slots) / entries);
    estimate.limit = std::clamp(estimate.limit, m_options.minimumLimit, most);
}

const ServiceLoadEstimate &SliceLoadTable::estimate(const std::string &service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? m_unknown : found->second;
}

double SliceLoadTable::medianCapacity(const std::vector<std::string> &services) const
{
    std::vector<double> capacities;
    for (const std::string &service : services) {
        const auto found = m_services.find(service);
        if (found != m_services.end() && found->second.capacity() > 0)
            capacities.push_back(found->second.capacity());
    }
    if (capacities.empty())
        return 0;
    const auto middle = capacities.begin() + static_cast<std::ptrdiff_t>(capacities.size() / 2);
    std::nth_element(capacities.begin(), middle, capacities.end());
    return *middle;
}

} // namespace gwt
