#include "entry/admission/ServiceLoadTable.h"

#include <algorithm>

namespace gwt {

namespace {

constexpr double minUseToGrow = 0.4; ///< a limit that is used less than this does not grow
constexpr double maxDecrease = 0.15; ///< max. decrease per interval, as a share of the limit
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
    return inFlight == 0 ? delay : delay * inFlightAtLeast(worth) / inFlight;
}

double ServiceLoadEstimate::capacity() const
{
    const double seconds = toSeconds(serviceTime);
    return seconds > 0 ? slots / seconds : 0;
}

int ServiceLoadEstimate::inFlightOfWorth(double worth) const
{
    const auto rank = inFlightByWorth.find(worth);
    return rank == inFlightByWorth.end() ? 0 : rank->second;
}

int ServiceLoadEstimate::inFlightAtLeast(double worth) const
{
    int requests = 0;
    for (auto rank = inFlightByWorth.lower_bound(worth); rank != inFlightByWorth.end(); ++rank)
        requests += rank->second;
    return requests;
}

ServiceLoadTable::ServiceLoadTable(ConcurrencyOptions options)
    : m_options(options)
{
    m_initialEstimate.limit = options.initialLimit;
}

ServiceLoadEstimate &ServiceLoadTable::findOrAdd(const std::string &service)
{
    return m_services.try_emplace(service, m_initialEstimate).first->second;
}

void ServiceLoadTable::addInFlight(const std::vector<std::string> &services, double worth)
{
    for (const std::string &service : services) {
        ServiceLoadEstimate &estimate = findOrAdd(service);
        ++estimate.inFlight;
        ++estimate.inFlightByWorth[worth];
    }
}

void ServiceLoadTable::removeInFlight(const std::vector<std::string> &services, double worth)
{
    for (const std::string &service : services) {
        ServiceLoadEstimate &estimate = findOrAdd(service);
        --estimate.inFlight;
        --estimate.inFlightByWorth[worth];
    }
}

void ServiceLoadTable::applyReport(const ServiceLoadReport &load, int entries, TimePoint now)
{
    ServiceLoadEstimate &estimate = findOrAdd(load.service);
    estimate.queueDelay = load.queueDelay;
    estimate.meanQueueDelay += std::chrono::duration_cast<Duration>(
        reportWeight * (load.queueDelay - estimate.meanQueueDelay));
    estimate.slots = load.slots;
    estimate.reportedAt = now;
    if (load.serviceTime > Duration::zero())
        estimate.serviceTime = load.serviceTime;
    adaptLimit(estimate, std::max(1, entries), now);
}

void ServiceLoadTable::adaptLimit(ServiceLoadEstimate &estimate, int entries, TimePoint now) const
{
    const Duration target = m_options.queueDelayTarget;
    if (estimate.meanQueueDelay <= target) {
        if (estimate.inFlight >= estimate.limit * minUseToGrow)
            estimate.limit += 1 / estimate.limit;
    } else if (now - estimate.limitLoweredAt >= decreaseInterval) {
        const double excess = toSeconds(estimate.meanQueueDelay - target) / toSeconds(target);
        estimate.limit *= 1 - maxDecrease * std::min(1.0, excess);
        estimate.limitLoweredAt = now;
    }
    const double maxLimit = std::max(
        m_options.minLimit, m_options.maxInFlightPerSlot * std::max(1, estimate.slots) / entries);
    estimate.limit = std::clamp(estimate.limit, m_options.minLimit, maxLimit);
}

const ServiceLoadEstimate &ServiceLoadTable::estimate(const std::string &service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? m_initialEstimate : found->second;
}

double ServiceLoadTable::medianCapacity(const std::vector<std::string> &services) const
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
