#pragma once

#include "gateway/backends/BackendRegistry.h"
#include "gateway/backends/ServicePool.h"
#include "gateway/routing/RouteTable.h"

#include <memory>
#include <unordered_map>

namespace gwt {

/// \brief The pools of all services, kept in step with the registry and the configuration.
class BackendFleet
{
public:
    BackendFleet(PoolContext context, RetryBudgetRules budget);

    /// \brief The pool of \a service, empty at first; the reference stays valid.
    ServicePool &pool(const std::string &service);
    const std::unordered_map<std::string, std::unique_ptr<ServicePool>> &pools() const
    {
        return m_pools;
    }
    void apply(const std::vector<BackendChange> &changes);
    /// \brief Takes the connection limits of \a routes, shared by \a fleetSize processes.
    void setLimits(const RouteTable &routes, int fleetSize);
    void setRepeatRules(RetryBudgetRules rules);
    /// \brief Backend servers that can take work, over all services.
    std::size_t usableServers() const;
    /// \brief Legs that have not ended, over all services.
    std::size_t openLegs() const;

private:
    PoolContext m_context;
    RetryBudgetRules m_budget;
    std::unordered_map<std::string, std::unique_ptr<ServicePool>> m_pools;
    std::unordered_map<std::string, std::string> m_serviceOf; ///< by id of the backend server
};

/// \brief Connections to one backend server that each of \a fleetSize processes may hold.
int connectionShare(int maxConnections, int fleetSize);

} // namespace gwt
