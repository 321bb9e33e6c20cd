#include "gateway/sharing/VersionedSet.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>

namespace gwt {

namespace {

std::uint64_t itemHash(const std::string &name, std::uint64_t digest)
{
    return XXH64(name.data(), name.size(), digest);
}

} // namespace

VersionedSet::Changes VersionedSet::differences(const Digests &wanted) const
{
    Changes changes;
    for (const auto &[name, digest] : wanted) {
        const auto current = m_digests.find(name);
        if (current == m_digests.end() || current->second != digest)
            changes.emplace(name, digest);
    }
    for (const auto &[name, digest] : m_digests) {
        if (!wanted.contains(name))
            changes.emplace(name, std::nullopt);
    }
    return changes;
}

std::uint64_t VersionedSet::digestAfter(const Changes &changes) const
{
    // A sum, so that the cost of a change does not depend on the number of items.
    std::uint64_t sum = m_digest;
    for (const auto &[name, digest] : changes) {
        const auto current = m_digests.find(name);
        if (current != m_digests.end())
            sum -= itemHash(name, current->second);
        if (digest)
            sum += itemHash(name, *digest);
    }
    return sum;
}

void VersionedSet::apply(const Changes &changes, std::uint64_t revision)
{
    m_digest = digestAfter(changes);
    const bool isInitial = !m_logStart;
    if (isInitial)
        m_logStart = revision;
    for (const auto &[name, digest] : changes) {
        if (digest)
            m_digests[name] = *digest;
        else
            m_digests.erase(name);
        if (!isInitial)
            m_log.push_back({revision, name});
    }
    while (m_log.size() > s_maxLogEntries) {
        m_logStart = m_log.front().revision;
        m_log.pop_front();
    }
}

std::optional<std::set<std::string>> VersionedSet::changedAfter(std::uint64_t revision) const
{
    if (!m_logStart || revision < *m_logStart)
        return std::nullopt;
    const auto first
        = std::partition_point(m_log.begin(), m_log.end(), [revision](const LogEntry &change) {
              return change.revision <= revision;
          });
    std::set<std::string> names;
    std::transform(first, m_log.end(), std::inserter(names, names.end()),
                   [](const LogEntry &change) { return change.name; });
    return names;
}

} // namespace gwt
