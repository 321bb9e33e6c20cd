#include "gateway/backends/BackendRegistry.h"

#include <algorithm>

namespace gwt {

BackendRegistry::BackendRegistry(Duration gracePeriod)
    : m_gracePeriod(gracePeriod)
{ }

std::vector<BackendChange> BackendRegistry::replaceAll(const std::vector<BackendEntry> &entries,
                                                       TimePoint now)
{
    std::vector<BackendChange> changes;
    std::map<std::string, bool> listed;
    for (const BackendEntry &entry : entries) {
        listed[entry.id] = true;
        for (BackendChange &change : update(entry))
            changes.push_back(std::move(change));
    }
    std::vector<std::string> unlisted;
    for (const auto &[id, entry] : m_entries) {
        if (!listed.contains(id))
            unlisted.push_back(id);
    }
    for (const std::string &id : unlisted) {
        for (BackendChange &change : remove(id, now))
            changes.push_back(std::move(change));
    }
    return changes;
}

std::vector<BackendChange> BackendRegistry::update(const BackendEntry &entry)
{
    m_pendingRemovals.erase(entry.id);
    const auto existing = m_entries.find(entry.id);
    if (existing != m_entries.end() && existing->second == entry)
        return {};
    m_entries[entry.id] = entry;
    return {{entry.id, entry}};
}

std::vector<BackendChange> BackendRegistry::remove(const std::string &id, TimePoint now)
{
    const auto existing = m_entries.find(id);
    if (existing == m_entries.end())
        return {};
    if (now < m_graceEnd && !existing->second.isDraining) {
        m_pendingRemovals.emplace(id, m_graceEnd);
        return {};
    }
    m_pendingRemovals.erase(id);
    m_entries.erase(existing);
    return {{id, std::nullopt}};
}

std::vector<BackendChange> BackendRegistry::expire(TimePoint now)
{
    std::vector<BackendChange> changes;
    for (auto it = m_pendingRemovals.begin(); it != m_pendingRemovals.end();) {
        if (it->second > now) {
            ++it;
            continue;
        }
        m_entries.erase(it->first);
        changes.push_back({it->first, std::nullopt});
        it = m_pendingRemovals.erase(it);
    }
    return changes;
}

std::optional<TimePoint> BackendRegistry::nextExpiry() const
{
    std::optional<TimePoint> next;
    for (const auto &[id, due] : m_pendingRemovals)
        next = next ? std::min(*next, due) : due;
    return next;
}

} // namespace gwt
