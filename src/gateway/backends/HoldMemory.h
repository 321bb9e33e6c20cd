#pragma once

#include "gateway/backends/BackendEntry.h"
#include "gateway/backends/BackendHold.h"

#include <cstddef>
#include <map>
#include <tuple>

namespace gwt {

/// \brief Retains the holds of backend servers whose registration has disappeared.
///
/// A registration can come back with the same instance: after it expired during an outage of the
/// registry, or in a listing that is older than the last one. A hold belongs to the instance, so a
/// new instance with the same id or address starts without one. Holds are dropped after a
/// retention time, and the oldest ones beyond a maximum number.
class HoldMemory
{
public:
    explicit HoldMemory(Duration retention = std::chrono::minutes(10), std::size_t maxHolds = 4096);

    /// \brief Stores \a hold, unless it has ended, for the instance that \a entry describes.
    void store(const BackendEntry &entry, const BackendHold &hold, TimePoint now);
    /// \brief Returns the hold of the instance that \a entry describes; an inactive one if none is
    /// stored.
    BackendHold find(const BackendEntry &entry) const;
    std::size_t size() const { return m_holds.size(); }

private:
    /// Id and start time of an instance. The address stands for a start time that is not reported.
    using InstanceKey = std::tuple<std::string, std::int64_t, std::string>;
    struct StoredHold
    {
        BackendHold hold;
        TimePoint storedAt;
    };

    static InstanceKey keyOf(const BackendEntry &entry);
    void evict(TimePoint now);

    const Duration m_retention;
    const std::size_t m_maxHolds;
    std::map<InstanceKey, StoredHold> m_holds;
};

} // namespace gwt
