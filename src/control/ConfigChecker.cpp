#include "control/ConfigChecker.h"

#include <algorithm>
#include <map>
#include <numeric>

namespace gwt {

namespace {

std::size_t editDistance(const std::string &a, const std::string &b)
{
    std::vector<std::size_t> row(b.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 1; i <= a.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= b.size(); ++j) {
            const std::size_t above = row[j];
            const std::size_t replace = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
            row[j] = std::min({row[j - 1] + 1, above + 1, replace});
            diagonal = above;
        }
    }
    return row[b.size()];
}

template <typename Object>
std::vector<std::string> namesOf(const CopyOnWriteMap<Object> &objects)
{
    std::vector<std::string> names;
    names.reserve(objects.size());
    for (const auto &[name, object] : objects)
        names.push_back(name);
    return names;
}

/// \brief Validates a whole set and collects its faults.
class Checker
{
public:
    Checker(const ConfigSet &set, const ConfigOrigins &origins)
        : m_set(set)
        , m_origins(origins)
    { }

    std::vector<ConfigFault> run()
    {
        checkBackendServers();
        checkServices();
        checkRanks();
        return std::move(m_faults);
    }

private:
    void addFault(const std::string &object, const std::string &field, std::string problem)
    {
        ConfigFault fault{"", 0, object, field, std::move(problem)};
        auto origin = m_origins.find(fieldOrigin(object, field));
        if (origin == m_origins.end())
            origin = m_origins.find(object);
        if (origin != m_origins.end())
            std::tie(fault.file, fault.line) = origin->second;
        m_faults.push_back(std::move(fault));
    }

    template <typename Object>
    void checkReference(const std::string &object, const std::string &field,
                        const std::string &name, const CopyOnWriteMap<Object> &targets)
    {
        if (name.empty() || targets.count(name))
            return;
        const std::string nearest = nearestName(name, namesOf(targets));
        addFault(object, field,
                 "no " + field + " is named \"" + name + "\""
                     + (nearest.empty() ? "" : "; did you mean \"" + nearest + "\"?"));
    }

    void checkBackendServers()
    {
        std::map<Endpoint, std::string> byAddress;
        for (const auto &[name, server] : m_set.backendServers) {
            const std::string object = "backend-server " + name;
            checkReference(object, "service", server.service, m_set.services);
            checkReference(object, "place", server.place, m_set.places);
            if (server.connections < server.slots) {
                addFault(object, "connections",
                         "must not be less than slots (" + std::to_string(server.slots) + ")");
            }
            const auto [other, isNew] = byAddress.emplace(server.address, name);
            if (!isNew && !server.address.address.empty())
                addFault(object, "address",
                         "is used by backend-server " + other->second + " as well");
        }
    }

    void checkServices()
    {
        std::map<std::string, int> replicas;
        for (const auto &[name, server] : m_set.backendServers)
            ++replicas[server.service];
        for (const auto &[name, service] : m_set.services) {
            if (replicas[name] == 0)
                addFault("service " + name, "", "has no backend-server");
        }
    }

    void checkRanks()
    {
        if (m_set.ranks.empty())
            addFault("rank", "", "the set has no rank");
        double totalFloorShare = 0;
        for (const auto &[name, rank] : m_set.ranks)
            totalFloorShare += rank.floorShare;
        constexpr double tolerance = 1e-9;
        if (totalFloorShare > 1 + tolerance)
            addFault("rank", "floor_share",
                     "the floor shares of all ranks must not add up to more than 1");
    }

    const ConfigSet &m_set;
    const ConfigOrigins &m_origins;
    std::vector<ConfigFault> m_faults;
};

/// \brief Returns true if the address of each backend server in \a names is unique in \a config.
bool areAddressesUnique(const Config &config, const std::set<std::string> &names)
{
    std::set<Endpoint> addresses;
    for (const std::string &name : names) {
        if (!addresses.insert(config.backendServer(name)->address).second)
            return false;
    }
    const CopyOnWriteMap<BackendServer> &servers = config.set().backendServers;
    return std::all_of(servers.begin(), servers.end(), [&](const auto &entry) {
        return !addresses.count(entry.second.address) || names.count(entry.first);
    });
}

/// \brief Returns true if the references of \a server exist in \a config and it has at least as
/// many connections as slots.
bool isValidServer(const Config &config, const BackendServer &server)
{
    return config.service(server.service) && config.set().places.count(server.place)
        && server.connections >= server.slots;
}

} // namespace

bool isValidChange(const Config &base, const Config &next, const ChangedNames &changed)
{
    if (!changed.places.empty() || !changed.ranks.empty())
        return checkConfig(next.set(), {}).empty();
    std::set<std::string> services = changed.services;
    std::set<std::string> serversWithNewAddress;
    for (const std::string &name : changed.backendServers) {
        const BackendServer *before = base.backendServer(name);
        const BackendServer *after = next.backendServer(name);
        if (before)
            services.insert(before->service);
        if (after && !isValidServer(next, *after))
            return false;
        if (after && (!before || before->address != after->address))
            serversWithNewAddress.insert(name);
    }
    const bool areAllServicesValid
        = std::all_of(services.begin(), services.end(), [&](const std::string &service) {
              return next.replicas(service).empty() == !next.service(service);
          });
    return areAllServicesValid
        && (serversWithNewAddress.empty() || areAddressesUnique(next, serversWithNewAddress));
}

std::string nearestName(const std::string &name, const std::vector<std::string> &candidates)
{
    std::string nearest;
    std::size_t best = std::max<std::size_t>(2, name.size() / 3) + 1;
    for (const std::string &candidate : candidates) {
        const std::size_t distance = editDistance(name, candidate);
        if (distance < best) {
            best = distance;
            nearest = candidate;
        }
    }
    return nearest;
}

std::vector<ConfigFault> checkConfig(const ConfigSet &set, const ConfigOrigins &origins)
{
    return Checker(set, origins).run();
}

} // namespace gwt
