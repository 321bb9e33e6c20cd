#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace gwt {

/// \brief Which named things there are, by a digest of each, and which changed after a revision.
///
/// Lets a process tell another one only the differences, and lets that one verify that both then
/// hold the same: a process that skipped revisions may not know of a change that was undone. The
/// log of changes is bounded; who lags further behind is told everything.
class VersionedSet
{
public:
    using Digests = std::map<std::string, std::uint64_t>; ///< by name
    /// \brief By name: the new digest, or none if the thing is gone.
    using Changes = std::map<std::string, std::optional<std::uint64_t>>;

    /// \brief What turns this set into \a wanted.
    Changes differences(const Digests &wanted) const;
    void apply(const Changes &changes, std::uint64_t revision);
    /// \brief Digest over all names and their digests, whatever their order.
    std::uint64_t digest() const { return m_digest; }
    /// \brief What digest() is once \a changes are applied.
    std::uint64_t digestAfter(const Changes &changes) const;
    /// \brief Names that changed after \a revision; none if the log does not reach back so far.
    std::optional<std::set<std::string>> changedAfter(std::uint64_t revision) const;

private:
    struct LoggedChange
    {
        std::uint64_t revision = 0;
        std::string name;
    };

    /// Some 200 kB; all servers of a large index that is repartitioned fit in.
    static constexpr std::size_t s_maxLogged = 2048;

    Digests m_digests;
    std::uint64_t m_digest = 0;
    std::deque<LoggedChange> m_log; ///< oldest first
    std::optional<std::uint64_t> m_reach; ///< the log holds all changes after this revision
};

} // namespace gwt
