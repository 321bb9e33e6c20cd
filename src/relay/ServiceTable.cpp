#include "relay/ServiceTable.h"

#include "common/Random.h"

namespace gwt {

namespace {

std::vector<Replica> replicasOf(const Config &config, const std::string &service, OwnerRank owner)
{
    std::vector<Replica> replicas;
    for (const BackendServer *server : config.replicas(service)) {
        Replica replica;
        replica.name = server->name;
        replica.address = server->address;
        replica.slots = OwnerShare::slots(owner, server->slots);
        replica.connections = OwnerShare::connections(owner, server->connections, server->slots);
        replica.isDraining = server->isDraining;
        replicas.push_back(std::move(replica));
    }
    return replicas;
}

} // namespace

ServiceTable::ServiceTable(const ConfigHolder &config, const SliceOwnership &ownership,
                           const RelayOptions &options, Metrics &metrics)
    : m_config(config)
    , m_ownership(ownership)
    , m_options(options)
    , m_metrics(metrics)
{ }

Outcome<std::shared_ptr<ServiceDispatcher>> ServiceTable::find(const std::string &service)
{
    const ConfigPtr config = m_config.current();
    const Service *known = config->service(service);
    if (!known)
        return Error{ErrorCode::NotFound, "no_such_service", service};
    const std::lock_guard lock(m_mutex);
    if (config->generation() > m_generation)
        reconfigure(*config);
    const auto found = m_entries.find(service);
    if (found == m_entries.end())
        return Error{ErrorCode::NotFound, "no_such_service", service};
    Entry &entry = found->second;
    const OwnerRank owner = m_ownership.rankOf(known->slice, *config);
    if (owner != entry.owner)
        configure(entry, *config, service, owner);
    if (owner == OwnerRank::None || (owner == OwnerRank::Second && entry.slots == 0))
        return Error{ErrorCode::NotRun, "not_owner", service};
    return entry.dispatcher;
}

void ServiceTable::configure(Entry &entry, const Config &config, const std::string &service,
                             OwnerRank owner)
{
    const std::vector<Replica> replicas = replicasOf(config, service, owner);
    entry.owner = owner;
    entry.slots = 0;
    for (const Replica &replica : replicas)
        entry.slots += replica.slots;
    entry.dispatcher->configure(replicas);
    entry.dispatcher->setLeaving(m_leaving);
}

void ServiceTable::reconfigure(const Config &config)
{
    m_generation = config.generation();
    std::erase_if(m_entries,
                  [&](const auto &entry) { return config.service(entry.first) == nullptr; });
    for (const auto &[name, service] : config.set().services) {
        Entry &entry = m_entries[name];
        if (!entry.dispatcher) {
            entry.dispatcher = std::make_shared<ServiceDispatcher>(name, m_options, m_metrics,
                                                                   makeSeededEngine()());
        }
        configure(entry, config, name, m_ownership.rankOf(service.slice, config));
    }
}

void ServiceTable::tick()
{
    const std::lock_guard lock(m_mutex);
    for (auto &[name, entry] : m_entries)
        entry.dispatcher->tick();
}

void ServiceTable::setLeaving(std::vector<std::string> addresses)
{
    const std::lock_guard lock(m_mutex);
    m_leaving = std::move(addresses);
    for (auto &[name, entry] : m_entries)
        entry.dispatcher->setLeaving(m_leaving);
}

} // namespace gwt
