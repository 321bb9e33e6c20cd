#include "gateway/backends/HoldMemory.h"

#include <algorithm>

namespace gwt {

HoldMemory::HoldMemory(Duration retention, std::size_t maxHolds)
    : m_retention(retention)
    , m_maxHolds(maxHolds)
{ }

HoldMemory::InstanceKey HoldMemory::keyOf(const BackendEntry &entry)
{
    return {entry.id, entry.incarnation,
            entry.incarnation == 0 ? toString(entry.address) : std::string()};
}

void HoldMemory::store(const BackendEntry &entry, const BackendHold &hold, TimePoint now)
{
    if (!hold.isActive(now))
        return;
    StoredHold &stored = m_holds[keyOf(entry)];
    stored.hold.merge(hold);
    stored.storedAt = now;
    evict(now);
}

BackendHold HoldMemory::find(const BackendEntry &entry) const
{
    const auto found = m_holds.find(keyOf(entry));
    return found == m_holds.end() ? BackendHold() : found->second.hold;
}

void HoldMemory::evict(TimePoint now)
{
    std::erase_if(m_holds,
                  [&](const auto &each) { return now - each.second.storedAt > m_retention; });
    if (m_holds.size() <= m_maxHolds)
        return;
    m_holds.erase(
        std::min_element(m_holds.begin(), m_holds.end(), [](const auto &a, const auto &b) {
            return a.second.storedAt < b.second.storedAt;
        }));
}

} // namespace gwt
