#pragma once

#include "gateway/backends/BackendRegistry.h"
#include "gateway/backends/ServicePool.h"
#include "gateway/routing/RouteTable.h"

#include <memory>
#include <unordered_map>

namespace gwt {

/// \brief Holds the pools of all services and updates them from the registry and the configuration.
class BackendFleet
{
public:
    BackendFleet(PoolContext context, RetryBudgetRules budget);

    /// \brief Returns the pool of \a service, created empty if new; the reference stays valid.
    ServicePool &pool(const std::string &service);
    const std::unordered_map<std::string, std::unique_ptr<ServicePool>> &pools() const
    {
        return m_pools;
    }
    void apply(const std::vector<BackendChange> &changes);
    /// \brief Sets the availability zones to whose servers nothing more is sent.
    void setEvacuatedZones(const std::set<std::string> &zones);
    const std::set<std::string> &evacuatedZones() const { return m_context.evacuatedZones; }
    /// \brief Applies the connection limits of \a routes, divided among \a fleetSize processes.
    void setConnectionLimits(const RouteTable &routes, int fleetSize);
    void setRetryBudgetRules(RetryBudgetRules rules);
    /// \brief When \a needed of \a services will have a server that accepts requests, if that only
    /// depends on holds of limited duration; nullopt if it is unknown, or the case already.
    std::optional<TimePoint> nextHoldEnd(const std::vector<std::string> &services,
                                         std::size_t needed, TimePoint now);
    /// \brief Number of backend servers that can take work, over all services.
    std::size_t usableServers() const;
    /// \brief Number of attempts that have not ended, over all services.
    std::size_t openAttempts() const;

private:
    PoolContext m_context;
    RetryBudgetRules m_budget;
    std::unordered_map<std::string, std::unique_ptr<ServicePool>> m_pools;
    std::unordered_map<std::string, std::string> m_serviceByServer;
};

/// \brief Number of connections to one backend server that each of \a fleetSize processes may hold.
int connectionShare(int maxConnections, int fleetSize);

} // namespace gwt
