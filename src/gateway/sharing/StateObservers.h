#pragma once

#include "gateway/sharing/FleetState.h"

#include <vector>

namespace gwt {

/// \brief Forwards each update to several observers, in order.
class StateObservers : public StateObserver
{
public:
    explicit StateObservers(std::vector<StateObserver *> observers)
        : m_observers(std::move(observers))
    { }

    void onConfig(const RoutingConfig &config) override
    {
        for (StateObserver *observer : m_observers)
            observer->onConfig(config);
    }
    void onBackends(const std::vector<BackendEntry> &entries) override
    {
        for (StateObserver *observer : m_observers)
            observer->onBackends(entries);
    }
    void onBackendChanges(const std::vector<BackendChange> &changes) override
    {
        for (StateObserver *observer : m_observers)
            observer->onBackendChanges(changes);
    }
    void onMembers(const std::vector<FleetMember> &members) override
    {
        for (StateObserver *observer : m_observers)
            observer->onMembers(members);
    }
    void onEvacuations(const std::set<std::string> &zones) override
    {
        for (StateObserver *observer : m_observers)
            observer->onEvacuations(zones);
    }
    void onRegistryRecovery() override
    {
        for (StateObserver *observer : m_observers)
            observer->onRegistryRecovery();
    }

private:
    const std::vector<StateObserver *> m_observers;
};

} // namespace gwt
