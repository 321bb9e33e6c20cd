#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace gwt {

/// \brief Tracks a digest of each item of a named set, and which items changed after a revision.
///
/// Lets a process send another one only a delta, and lets the receiver verify that both then hold
/// the same: a process that skipped revisions may not know of a change that was undone. The log of
/// changes is bounded; a receiver that lags further behind is sent the full set.
class VersionedSet
{
public:
    using Digests = std::map<std::string, std::uint64_t>; ///< by name
    /// \brief By name: the new digest, or none if the item was removed.
    using Changes = std::map<std::string, std::optional<std::uint64_t>>;

    /// \brief The changes that turn this set into \a wanted.
    Changes differences(const Digests &wanted) const;
    void apply(const Changes &changes, std::uint64_t revision);
    /// \brief Digest of all names and their digests, independent of their order.
    std::uint64_t digest() const { return m_digest; }
    /// \brief The value of digest() after \a changes are applied.
    std::uint64_t digestAfter(const Changes &changes) const;
    /// \brief Names that changed after \a revision; none if the log does not reach back so far.
    std::optional<std::set<std::string>> changedAfter(std::uint64_t revision) const;

private:
    struct LogEntry
    {
        std::uint64_t revision = 0;
        std::string name;
    };

    /// Some 200 kB; holds all backend servers of a large index that is repartitioned.
    static constexpr std::size_t s_maxLogEntries = 2048;

    Digests m_digests;
    std::uint64_t m_digest = 0;
    std::deque<LogEntry> m_log; ///< oldest first
    std::optional<std::uint64_t> m_logStart; ///< the log holds all changes after this revision
};

} // namespace gwt
