#pragma once

#include "control/ConfigSet.h"

#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace gwt {

using ConfigPtr = std::shared_ptr<const Config>;

/// \brief Holds the active configuration and index versions of this process. Thread-safe.
///
/// The generation never decreases: a lower or equal one is rejected.
class ConfigHolder
{
public:
    ConfigHolder();

    /// \brief Returns the active configuration; generation 0 is empty and means that none is known
    /// yet.
    ConfigPtr current() const;
    /// \brief Activates \a config if its generation is higher; returns whether it did.
    bool updateIfNewer(const ConfigPtr &config);

    /// \brief Adds an index version; a version that is already known is left unchanged.
    void addIndexVersion(const IndexVersion &version);
    /// \brief Replaces the list of index versions that queries may pin.
    void setIndexVersions(const std::vector<IndexVersion> &versions);
    /// \brief Returns the shard list of one version of \a index; nullptr if unknown.
    std::shared_ptr<const IndexVersion> indexVersion(const std::string &index,
                                                     std::uint64_t version) const;
    /// \brief Returns all known versions of \a index, oldest first.
    std::vector<std::shared_ptr<const IndexVersion>> versionsOf(const std::string &index) const;

private:
    mutable std::mutex m_mutex;
    ConfigPtr m_config;
    std::map<std::string, std::map<std::uint64_t, std::shared_ptr<const IndexVersion>>> m_versions;
};

} // namespace gwt
