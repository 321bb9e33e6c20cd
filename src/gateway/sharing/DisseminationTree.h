#pragma once

#include "common/Time.h"
#include "gateway/sharing/FleetMember.h"

#include <cstddef>
#include <map>
#include <vector>

namespace gwt {

/// \brief Computes which members this process polls for updates, in a dissemination tree that
/// keeps the load on the registry independent of the size of the fleet; performs no I/O.
///
/// All members compute the same order of the fleet. A few of them, the watchers, follow the
/// registry; they are in different availability zones if there are enough. The first members of
/// each zone, its heads, poll the watchers. The others poll members of the level above them in
/// their own zone, where each level is \c s_fanOut times as large as the one above, so that an
/// update crosses between zones only a few times whatever the size of the fleet. Each member has
/// several sources, so that a partitioned one does no harm. Members that do not answer are excluded
/// for a while, and the members after them move up.
class DisseminationTree
{
public:
    static constexpr std::size_t s_watcherCount = 3; ///< members that follow the registry
    static constexpr std::size_t s_headsPerZone = 3; ///< members that poll the watchers
    static constexpr std::size_t s_sourceCount = 3; ///< that a member polls in turn
    /// Average number of members that poll one source. Three levels below the watchers then hold
    /// 3,400 members, and no source answers more than some 60 requests a second.
    static constexpr std::size_t s_fanOut = 14;
    /// Exclusion of a member that did not answer; doubles with each consecutive failure. A member
    /// that has just started is retried soon, one that is gone rarely.
    static constexpr Duration s_initialExclusion = Milliseconds(250);
    static constexpr Duration s_maxExclusion = std::chrono::seconds(8);
    /// Exclusion in relation to the time that the failed poll took, so that silent members do not
    /// take up most of the time for polls.
    static constexpr int s_exclusionPerPollTime = 4;

    explicit DisseminationTree(std::string self);

    void setMembers(const std::vector<FleetMember> &members);
    /// \brief True if this process follows the registry itself.
    bool isWatcher(TimePoint now) const;
    /// \brief The members that follow the registry, in order.
    std::vector<FleetMember> watchers(TimePoint now) const;
    /// \brief True for the first member in the order, which does what is done once per fleet.
    bool isCoordinator(TimePoint now) const;
    /// \brief The members that this process polls in turn; empty for a watcher.
    std::vector<FleetMember> sources(TimePoint now) const { return upstream(now).sources; }
    /// \brief Hops of an update from a watcher to this process; 0 for a watcher.
    int hops(TimePoint now) const { return upstream(now).hops; }
    /// \brief The first members in the order other than this process, watchers or not.
    std::vector<FleetMember> fallbackSources(TimePoint now) const;
    /// \brief Excludes \a member, which did not answer a poll within \a pollTime.
    void recordFailure(const std::string &member, Duration pollTime, TimePoint now);
    void recordSuccess(const std::string &member) { m_exclusions.erase(member); }

private:
    struct Exclusion
    {
        TimePoint until;
        Duration length{0};
    };

    using Members = std::vector<const FleetMember *>;

    struct Upstream
    {
        std::vector<FleetMember> sources;
        int hops = 0;
    };

    Members activeMembers(TimePoint now) const;
    static Members chooseWatchers(const Members &candidates);
    Upstream upstream(TimePoint now) const;

    const std::string m_self;
    std::vector<FleetMember> m_orderedMembers;
    std::map<std::string, Exclusion> m_exclusions;
};

} // namespace gwt
