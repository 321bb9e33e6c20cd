#include "control/ConfigSet.h"

#include <algorithm>
#include <map>

namespace gwt {

namespace {

template <typename Value>
const std::vector<Value> &findList(const CopyOnWriteMap<std::vector<Value>> &lists,
                                   const std::string &name)
{
    static const std::vector<Value> emptyList;
    const auto found = lists.find(name);
    return found == lists.end() ? emptyList : found->second;
}

template <typename Object>
const Object *findObject(const CopyOnWriteMap<Object> &objects, const std::string &name)
{
    const auto found = objects.find(name);
    return found == objects.end() ? nullptr : &found->second;
}

const std::string &nameOf(const std::string &name)
{
    return name;
}

const std::string &nameOf(const BackendServer *server)
{
    return server->name;
}

/// \brief Returns the position of \a name in \a list, which is sorted by name.
template <typename Value>
auto positionOf(std::vector<Value> &list, const std::string &name)
{
    return std::lower_bound(
        list.begin(), list.end(), name,
        [](const Value &value, const std::string &wanted) { return nameOf(value) < wanted; });
}

/// \brief Removes \a name from the list of \a key, and the list itself once it is empty.
template <typename Value>
void removeFromList(CopyOnWriteMap<std::vector<Value>> &lists, const std::string &key,
                    const std::string &name)
{
    std::vector<Value> &list = lists[key];
    const auto position = positionOf(list, name);
    if (position != list.end() && nameOf(*position) == name)
        list.erase(position);
    if (list.empty())
        lists.erase(key);
}

template <typename Value>
void insertIntoList(CopyOnWriteMap<std::vector<Value>> &lists, const std::string &key,
                    const Value &value)
{
    std::vector<Value> &list = lists[key];
    list.insert(positionOf(list, nameOf(value)), value);
}

ChangedNames allNames(const ConfigSet &set)
{
    ChangedNames names;
    for (const auto &[name, service] : set.services)
        names.services.insert(name);
    for (const auto &[name, server] : set.backendServers)
        names.backendServers.insert(name);
    return names;
}

} // namespace

std::size_t ConfigSet::size() const
{
    return places.size() + services.size() + backendServers.size() + ranks.size();
}

Config::Config(std::uint64_t generation, ConfigSet set)
    : Config(generation, set, Config(), allNames(set))
{ }

Config::Config(std::uint64_t generation, ConfigSet set, const Config &base,
               const ChangedNames &changed)
    : m_generation(generation)
    , m_set(std::move(set))
    , m_servicesOfIndex(base.m_servicesOfIndex)
    , m_servicesOfSlice(base.m_servicesOfSlice)
    , m_replicas(base.m_replicas)
    , m_zoneOfSlice(base.m_zoneOfSlice)
    , m_slices(base.m_slices)
{
    for (const std::string &name : changed.services)
        updateService(name, base.service(name), service(name));
    for (const std::string &name : changed.backendServers)
        updateServer(name, base.backendServer(name), backendServer(name));
    for (const std::string &slice : affectedSlices(base, changed))
        updateZone(slice);
    if (changed.services.empty())
        return;
    m_slices.clear();
    for (const auto &[slice, services] : m_servicesOfSlice)
        m_slices.push_back(slice);
}

void Config::updateService(const std::string &name, const Service *before, const Service *after)
{
    if (before) {
        removeFromList(m_servicesOfIndex, before->index, name);
        removeFromList(m_servicesOfSlice, before->slice, name);
    }
    if (after) {
        insertIntoList(m_servicesOfIndex, after->index, name);
        insertIntoList(m_servicesOfSlice, after->slice, name);
    }
}

void Config::updateServer(const std::string &name, const BackendServer *before,
                          const BackendServer *after)
{
    if (before)
        removeFromList(m_replicas, before->service, name);
    if (after)
        insertIntoList(m_replicas, after->service, after);
}

std::set<std::string> Config::affectedSlices(const Config &base, const ChangedNames &changed) const
{
    std::set<std::string> slices;
    if (!changed.places.empty()) {
        for (const auto &[slice, services] : m_servicesOfSlice)
            slices.insert(slice);
    }
    std::set<std::string> services = changed.services;
    for (const std::string &name : changed.backendServers) {
        for (const Config *config : {&base, this}) {
            if (const BackendServer *server = config->backendServer(name))
                services.insert(server->service);
        }
    }
    for (const std::string &name : services) {
        for (const Config *config : {&base, this}) {
            if (const Service *service = config->service(name))
                slices.insert(service->slice);
        }
    }
    return slices;
}

void Config::updateZone(const std::string &slice)
{
    std::map<std::string, int> servers;
    for (const std::string &service : servicesOfSlice(slice)) {
        for (const BackendServer *server : replicas(service)) {
            const auto place = m_set.places.find(server->place);
            if (place != m_set.places.end())
                ++servers[place->second.availabilityZone];
        }
    }
    if (servers.empty()) {
        m_zoneOfSlice.erase(slice);
        return;
    }
    const auto largest
        = std::max_element(servers.begin(), servers.end(),
                           [](const auto &a, const auto &b) { return a.second < b.second; });
    if (zoneOfSlice(slice) != largest->first)
        m_zoneOfSlice[slice] = largest->first;
}

const Rank *Config::rank(const std::string &name) const
{
    return findObject(m_set.ranks, name);
}

const Service *Config::service(const std::string &name) const
{
    return findObject(m_set.services, name);
}

const BackendServer *Config::backendServer(const std::string &name) const
{
    return findObject(m_set.backendServers, name);
}

bool Config::hasIndex(const std::string &index) const
{
    return m_servicesOfIndex.count(index) > 0;
}

const std::vector<std::string> &Config::servicesOfIndex(const std::string &index) const
{
    return findList(m_servicesOfIndex, index);
}

const std::vector<std::string> &Config::servicesOfSlice(const std::string &slice) const
{
    return findList(m_servicesOfSlice, slice);
}

const std::vector<const BackendServer *> &Config::replicas(const std::string &service) const
{
    return findList(m_replicas, service);
}

std::string Config::zoneOfSlice(const std::string &slice) const
{
    const auto found = m_zoneOfSlice.find(slice);
    return found == m_zoneOfSlice.end() ? std::string() : found->second;
}

} // namespace gwt
