#pragma once

#include "control/ConfigHolder.h"
#include "relay/ServiceDispatcher.h"
#include "relay/SliceOwnership.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace gwt {

/// \brief Holds the dispatchers of all services in the current configuration. Thread-safe.
///
/// Lock order: this table's mutex, then the slice ownership's, then a dispatcher's.
class ServiceTable
{
public:
    ServiceTable(const ConfigHolder &config, const SliceOwnership &ownership,
                 const RelayOptions &options, Metrics &metrics);

    /// \brief Returns the dispatcher of \a service.
    ///
    /// Errors: NotFound "no_such_service"; NotRun "not_owner" if this relay owns none of its slots.
    Outcome<std::shared_ptr<ServiceDispatcher>> find(const std::string &service);
    /// \brief Calls ServiceDispatcher::tick() of all dispatchers.
    void tick();
    /// \brief Sets the addresses of leaving hosts.
    void setLeaving(std::vector<std::string> addresses);

private:
    struct Entry
    {
        std::shared_ptr<ServiceDispatcher> dispatcher;
        OwnerRank owner = OwnerRank::None;
        int slots = 0; ///< of this relay, over all replicas
    };

    void reconfigure(const Config &config);
    void configure(Entry &entry, const Config &config, const std::string &service, OwnerRank owner);

    const ConfigHolder &m_config;
    const SliceOwnership &m_ownership;
    const RelayOptions m_options;
    Metrics &m_metrics;
    std::mutex m_mutex;
    std::uint64_t m_generation = 0;
    std::map<std::string, Entry> m_entries;
    std::vector<std::string> m_leaving;
};

} // namespace gwt
