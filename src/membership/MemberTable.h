#pragma once

#include "common/Random.h"
#include "common/Time.h"
#include "membership/Member.h"

#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace gwt {

/// \brief Number of buckets of a table, which are compared by one digest each.
inline constexpr std::size_t digestBucketCount = 64;

/// \brief Holds the state of every member as one member sees it, and merges updates into it.
///
/// The higher incarnation wins. At the same incarnation the order of precedence is dead, leaving,
/// suspect, alive.
class MemberTable
{
public:
    using Digests = std::array<std::uint64_t, digestBucketCount>;

    /// \brief Effect of an update on the state of a member.
    enum class Effect { None, Changed, Suspected, Died, Revived };

    /// \brief Applies \a update if it is newer; a new suspicion becomes a death at
    /// \a suspicionEnd. Death of an unknown member has no effect.
    Effect apply(const Member &update, TimePoint suspicionEnd, TimePoint now);

    /// \brief The member named \a id; nullptr if it is not known.
    const Member *find(const std::string &id) const;

    /// \brief Starts a suspicion by this process; an alive member becomes suspect, a leaving one
    /// stays leaving until the suspicion ends. False if it is already suspected, dead or unknown.
    bool suspect(const std::string &id, TimePoint suspicionEnd);
    /// \brief Ends the suspicion of a leaving member that answered a probe.
    void clearLeavingSuspicion(const std::string &id);
    /// \brief Declares members dead whose suspicion ended by \a now, and returns their ids.
    std::vector<std::string> expireSuspicions(TimePoint now);
    /// \brief Ids of the members that this process itself suspects.
    std::vector<std::string> ownSuspicions() const;
    /// \brief Extends all suspicions by \a gap, the time in which this process did not run.
    void extendSuspicions(Duration gap);
    /// \brief Removes members that died before \a end.
    void dropTombstones(TimePoint end);

    /// \brief Ids of all members that are not dead, in no particular order.
    const std::vector<std::string> &liveIds() const;
    /// \brief Ids of dead members that have not been removed yet, sorted.
    std::vector<std::string> deadIds() const;
    /// \brief All members that are not dead, sorted by id.
    MemberList members() const;

    /// \brief One hash per bucket, equal in two tables that agree on its live members; suspicions
    /// are left out.
    Digests digests() const;
    /// \brief Members of \a bucket, dead ones included.
    std::vector<const Member *> bucket(std::size_t bucket) const;

private:
    struct Record
    {
        Member member;
        std::optional<TimePoint> suspicionEnd;
        bool isOwnSuspicion = false;
        TimePoint deadSince;
        std::size_t bucket = 0;
    };

    static bool isNewer(const Member &update, const Member &known);
    void markDead(Record &record, TimePoint now);

    std::map<std::string, Record> m_records;
    std::set<std::string> m_suspects;
    mutable std::vector<std::string> m_liveIds;
    mutable bool m_areLiveIdsStale = true;
};

} // namespace gwt
