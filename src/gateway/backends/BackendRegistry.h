#pragma once

#include "gateway/backends/BackendEntry.h"

#include <map>
#include <optional>
#include <vector>

namespace gwt {

/// \brief A change of what is believed of one backend server.
struct BackendChange
{
    std::string id;
    std::optional<BackendEntry> entry; ///< none: the backend server is gone
};

/// \brief The registered backend servers, by what the platform's registry said and when.
///
/// A removal counts at once while the registry is reachable. An entry that vanished during an
/// outage of the registry may only have lapsed there: it is kept until \c returnGrace after the
/// registry came back, so that living backend servers have time to register again.
class BackendRegistry
{
public:
    explicit BackendRegistry(Duration returnGrace);

    /// \brief Takes a complete listing.
    std::vector<BackendChange> replaceAll(const std::vector<BackendEntry> &entries, TimePoint now);
    /// \brief Takes one new or changed entry.
    std::vector<BackendChange> update(const BackendEntry &entry);
    /// \brief Takes the removal of \a id.
    std::vector<BackendChange> remove(const std::string &id, TimePoint now);
    /// \brief The registry answers again after an outage.
    void noteReturn(TimePoint now) { m_trustedFrom = now + m_returnGrace; }
    /// \brief Drops the entries whose grace is over.
    std::vector<BackendChange> expire(TimePoint now);
    /// \brief When expire() has something to do; nullopt if nothing waits.
    std::optional<TimePoint> nextExpiry() const;

    const std::map<std::string, BackendEntry> &entries() const { return m_entries; }

private:
    const Duration m_returnGrace;
    TimePoint m_trustedFrom; ///< until then a removal may be a lapse
    std::map<std::string, BackendEntry> m_entries;
    std::map<std::string, TimePoint> m_missing; ///< entries to drop, and when
};

} // namespace gwt
