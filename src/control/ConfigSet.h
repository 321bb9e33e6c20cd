#pragma once

#include "control/ChangedNames.h"
#include "control/ConfigObjects.h"
#include "control/CopyOnWriteMap.h"

#include <string>
#include <vector>

namespace gwt {

/// \brief A complete set of configuration objects, keyed by name within each kind.
struct ConfigSet
{
    CopyOnWriteMap<Place> places;
    CopyOnWriteMap<Service> services;
    CopyOnWriteMap<BackendServer> backendServers;
    CopyOnWriteMap<Rank> ranks;

    std::size_t size() const;
    bool operator==(const ConfigSet &) const = default;
};

/// \brief A published set and the lookup tables derived from it. Immutable.
class Config
{
public:
    Config() = default;
    Config(std::uint64_t generation, ConfigSet set);
    /// \brief Derives the tables incrementally from those of \a base, sharing what is unchanged.
    ///
    /// \a set must be a modified copy of the set of \a base that differs only in the objects
    /// \a changed.
    Config(std::uint64_t generation, ConfigSet set, const Config &base,
           const ChangedNames &changed);

    std::uint64_t generation() const { return m_generation; }
    const ConfigSet &set() const { return m_set; }

    const Rank *rank(const std::string &name) const;
    const Service *service(const std::string &name) const;
    const BackendServer *backendServer(const std::string &name) const;
    bool hasIndex(const std::string &index) const;
    /// \brief Returns the names of the services of \a index, sorted.
    const std::vector<std::string> &servicesOfIndex(const std::string &index) const;
    /// \brief Returns the names of the services of \a slice, sorted.
    const std::vector<std::string> &servicesOfSlice(const std::string &slice) const;
    /// \brief Returns the replicas of \a service, sorted by name.
    const std::vector<const BackendServer *> &replicas(const std::string &service) const;
    /// \brief Returns the names of all slices, sorted.
    const std::vector<std::string> &slices() const { return m_slices; }
    /// \brief Returns the availability zone with the most backend servers of \a slice; empty if
    /// unknown.
    std::string zoneOfSlice(const std::string &slice) const;

    Config(const Config &) = delete;
    Config &operator=(const Config &) = delete;

private:
    void updateService(const std::string &name, const Service *before, const Service *after);
    void updateServer(const std::string &name, const BackendServer *before,
                      const BackendServer *after);
    void updateZone(const std::string &slice);
    std::set<std::string> affectedSlices(const Config &base, const ChangedNames &changed) const;

    std::uint64_t m_generation = 0;
    ConfigSet m_set;
    CopyOnWriteMap<std::vector<std::string>> m_servicesOfIndex;
    CopyOnWriteMap<std::vector<std::string>> m_servicesOfSlice;
    CopyOnWriteMap<std::vector<const BackendServer *>> m_replicas;
    CopyOnWriteMap<std::string> m_zoneOfSlice;
    std::vector<std::string> m_slices;
};

} // namespace gwt
