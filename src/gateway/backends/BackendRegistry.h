#pragma once

#include "gateway/backends/BackendEntry.h"

#include <map>
#include <optional>
#include <vector>

namespace gwt {

/// \brief A change to the registration of one backend server.
struct BackendChange
{
    std::string id;
    std::optional<BackendEntry> entry; ///< empty: the backend server is gone
};

/// \brief Tracks the registered backend servers across outages of the platform's registry.
///
/// A removal takes effect at once while the registry is reachable. An entry that vanished during an
/// outage of the registry may only have expired there: it is kept until \c gracePeriod after the
/// registry's recovery, so that live backend servers have time to register again.
class BackendRegistry
{
public:
    explicit BackendRegistry(Duration gracePeriod);

    /// \brief Applies a complete listing and returns the differences.
    std::vector<BackendChange> replaceAll(const std::vector<BackendEntry> &entries, TimePoint now);
    /// \brief Applies one new or changed entry.
    std::vector<BackendChange> update(const BackendEntry &entry);
    /// \brief Applies the removal of \a id.
    std::vector<BackendChange> remove(const std::string &id, TimePoint now);
    /// \brief Starts the grace period: the registry answers again after an outage.
    void startGracePeriod(TimePoint now) { m_graceEnd = now + m_gracePeriod; }
    /// \brief Removes the entries whose grace period has ended.
    std::vector<BackendChange> expire(TimePoint now);
    /// \brief When expire() next has an entry to remove; nullopt if none is pending.
    std::optional<TimePoint> nextExpiry() const;

    const std::map<std::string, BackendEntry> &entries() const { return m_entries; }

private:
    const Duration m_gracePeriod;
    TimePoint m_graceEnd; ///< until then a removal may only be an expired registration
    std::map<std::string, BackendEntry> m_entries;
    std::map<std::string, TimePoint> m_pendingRemovals; ///< pending removals and when they are due
};

} // namespace gwt
