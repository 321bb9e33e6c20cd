#include "control/ConfigHolder.h"

namespace gwt {

ConfigHolder::ConfigHolder()
    : m_config(std::make_shared<const Config>())
{ }

ConfigPtr ConfigHolder::current() const
{
    const std::lock_guard lock(m_mutex);
    return m_config;
}

bool ConfigHolder::updateIfNewer(const ConfigPtr &config)
{
    const std::lock_guard lock(m_mutex);
    if (!config || config->generation() <= m_config->generation())
        return false;
    m_config = config;
    return true;
}

void ConfigHolder::addIndexVersion(const IndexVersion &version)
{
    const std::lock_guard lock(m_mutex);
    auto &entry = m_versions[version.index][version.version];
    if (!entry)
        entry = std::make_shared<const IndexVersion>(version);
}

void ConfigHolder::setIndexVersions(const std::vector<IndexVersion> &versions)
{
    const std::lock_guard lock(m_mutex);
    m_versions.clear();
    for (const IndexVersion &version : versions) {
        m_versions[version.index][version.version] = std::make_shared<const IndexVersion>(version);
    }
}

std::shared_ptr<const IndexVersion> ConfigHolder::indexVersion(const std::string &index,
                                                               std::uint64_t version) const
{
    const std::lock_guard lock(m_mutex);
    const auto versions = m_versions.find(index);
    if (versions == m_versions.end())
        return nullptr;
    const auto found = versions->second.find(version);
    return found == versions->second.end() ? nullptr : found->second;
}

std::vector<std::shared_ptr<const IndexVersion>>
ConfigHolder::versionsOf(const std::string &index) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::shared_ptr<const IndexVersion>> result;
    const auto versions = m_versions.find(index);
    if (versions == m_versions.end())
        return result;
    for (const auto &[number, version] : versions->second)
        result.push_back(version);
    return result;
}

} // namespace gwt
