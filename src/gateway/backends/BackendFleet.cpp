#include "gateway/backends/BackendFleet.h"

#include <algorithm>

namespace gwt {

int connectionShare(int maxConnections, int fleetSize)
{
    // One connection per process stays unused: after a power loss the server still holds those of
    // the previous processes.
    return std::max(1, maxConnections / std::max(1, fleetSize) - 1);
}

BackendFleet::BackendFleet(PoolContext context, RetryBudgetRules budget)
    : m_context(std::move(context))
    , m_budget(budget)
{ }

ServicePool &BackendFleet::pool(const std::string &service)
{
    std::unique_ptr<ServicePool> &pool = m_pools[service];
    if (!pool)
        pool = std::make_unique<ServicePool>(m_context, service, m_budget);
    return *pool;
}

void BackendFleet::apply(const std::vector<BackendChange> &changes)
{
    for (const BackendChange &change : changes) {
        const auto existing = m_serviceByServer.find(change.id);
        const bool hasLeftService = existing != m_serviceByServer.end()
            && (!change.entry || change.entry->service != existing->second);
        if (hasLeftService) {
            pool(existing->second).removeServer(change.id);
            m_serviceByServer.erase(existing);
        }
        if (change.entry) {
            m_serviceByServer[change.id] = change.entry->service;
            pool(change.entry->service).setServer(*change.entry);
        }
    }
}

void BackendFleet::setEvacuatedZones(const std::set<std::string> &zones)
{
    m_context.evacuatedZones = zones;
    for (const auto &[service, pool] : m_pools)
        pool->updateEvacuations();
}

void BackendFleet::setConnectionLimits(const RouteTable &routes, int fleetSize)
{
    for (const ServiceSpec &service : routes.config().services) {
        pool(service.name).setConnectionShare(connectionShare(service.maxConnections, fleetSize));
    }
}

void BackendFleet::setRetryBudgetRules(RetryBudgetRules rules)
{
    m_budget = rules;
    for (const auto &[service, pool] : m_pools)
        pool->budget().setRules(rules);
}

std::optional<TimePoint> BackendFleet::nextHoldEnd(const std::vector<std::string> &services,
                                                   std::size_t needed, TimePoint now)
{
    std::size_t available = 0;
    std::vector<TimePoint> ends;
    for (const std::string &service : services) {
        const ServicePool &servicePool = pool(service);
        if (servicePool.hasServer(now))
            ++available;
        else if (const auto end = servicePool.nextHoldEnd(now))
            ends.push_back(*end);
    }
    if (available >= needed || available + ends.size() < needed)
        return std::nullopt;
    const auto last = ends.begin() + static_cast<std::ptrdiff_t>(needed - available - 1);
    std::nth_element(ends.begin(), last, ends.end());
    return *last;
}

std::size_t BackendFleet::usableServers() const
{
    std::size_t usable = 0;
    for (const auto &[service, pool] : m_pools) {
        usable += static_cast<std::size_t>(
            std::count_if(pool->servers().begin(), pool->servers().end(),
                          [](const auto &each) { return each.second->isUsable(); }));
    }
    return usable;
}

std::size_t BackendFleet::openAttempts() const
{
    std::size_t open = 0;
    for (const auto &[service, pool] : m_pools)
        open += pool->openAttempts();
    return open;
}

} // namespace gwt
