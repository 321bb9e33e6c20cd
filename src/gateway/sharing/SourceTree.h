#pragma once

#include "common/Time.h"
#include "gateway/sharing/FleetMember.h"

#include <cstddef>
#include <map>
#include <vector>

namespace gwt {

/// \brief Who learns of changes from whom, so that calls to the registry do not grow with the
/// fleet; pure decision code.
///
/// All members in one order that each works out alike. A few of them, in availability zones of
/// their own if there are enough, follow the registry. The first members of each zone ask these;
/// the others ask members of the level before them in their own zone, each level \c s_fanOut times
/// as large, so that news crosses between zones a few times whatever the size of the fleet. Each
/// member has several sources, so that one that is cut off does no harm. Members that do not answer
/// are left out for a while, and the ones after them move up.
class SourceTree
{
public:
    static constexpr std::size_t s_watchers = 3; ///< members that follow the registry
    static constexpr std::size_t s_heads = 3; ///< of each zone, which ask the watchers
    static constexpr std::size_t s_sources = 3; ///< that a member asks in turn
    /// Members that ask one source, on average: three levels below the watchers then hold 3,400
    /// members, and no source answers more than some 60 questions a second.
    static constexpr std::size_t s_fanOut = 14;
    /// Exclusion of a silent member; doubles with each silence in a row. A member that has just
    /// started is tried again soon, one that is gone seldom.
    static constexpr Duration s_firstExclusion = Milliseconds(250);
    static constexpr Duration s_longestExclusion = std::chrono::seconds(8);

    explicit SourceTree(std::string self);

    void setMembers(const std::vector<FleetMember> &members);
    /// \brief True if this process follows the registry itself.
    bool isWatcher(TimePoint now) const;
    /// \brief True for one member alone, as each works it out: what is done once is its task.
    bool isFirst(TimePoint now) const;
    /// \brief The members that this process asks, in turn; empty for a watcher.
    std::vector<FleetMember> sources(TimePoint now) const { return place(now).sources; }
    /// \brief Times that news is passed on until it is here; 0 for a watcher.
    int hops(TimePoint now) const { return place(now).hops; }
    /// \brief The first members other than this process, whoever follows the registry.
    std::vector<FleetMember> others(TimePoint now) const;
    void noteSilent(const std::string &member, TimePoint now);
    void noteAnswer(const std::string &member) { m_exclusions.erase(member); }

private:
    struct Exclusion
    {
        TimePoint until;
        Duration length{0};
    };

    using Members = std::vector<const FleetMember *>;

    struct Place
    {
        std::vector<FleetMember> sources;
        int hops = 0;
    };

    Members present(TimePoint now) const;
    static Members watchers(const Members &present);
    Place place(TimePoint now) const;

    const std::string m_self;
    std::vector<FleetMember> m_ordered;
    std::map<std::string, Exclusion> m_exclusions;
};

} // namespace gwt
