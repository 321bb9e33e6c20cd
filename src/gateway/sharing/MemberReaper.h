#pragma once

#include "common/Time.h"
#include "gateway/sharing/FleetMember.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace gwt {

/// \brief Detects members that have left for good, so that their shares of the connection limits
/// and of the retry budget pass to the others; performs no I/O.
///
/// Hosts are replaced daily under new names, so members that left would accumulate. Members are
/// probed in turn, one at a time, so that the load does not grow with the fleet. A process that is
/// partitioned from the others finds all of them silent and removes none.
class MemberReaper
{
public:
    /// Interval between two probes; a round over 3,400 members takes two hours.
    static constexpr Duration s_probeInterval = std::chrono::seconds(2);
    /// Interval between the probes of one silent member.
    static constexpr Duration s_silentProbeInterval = std::chrono::seconds(20);
    /// Silence after which a member is removed; restarts and network partitions take seconds.
    static constexpr Duration s_minSilence = std::chrono::seconds(60);
    static constexpr int s_minFailures = 3; ///< consecutive probes without an answer

    explicit MemberReaper(std::string self);

    void setMembers(const std::vector<FleetMember> &members);
    /// \brief Returns the member to probe now; none if it is too early.
    std::optional<FleetMember> nextMember(TimePoint now);
    /// \brief Records the result of a probe; true if \a member is to be removed.
    bool recordProbe(const std::string &member, bool hasAnswered, TimePoint now);

private:
    struct Silence
    {
        TimePoint since;
        TimePoint probedAt;
        int failures = 0;
        int answerCountBefore = 0; ///< answers of other members before the silence
    };

    std::optional<FleetMember> dueSilentMember(TimePoint now) const;

    const std::string m_self;
    std::map<std::string, FleetMember> m_members; ///< without this process, by name
    std::map<std::string, Silence> m_silentMembers;
    std::string m_lastProbed; ///< member probed last in the round
    TimePoint m_nextProbeAt;
    int m_answerCount = 0;
};

} // namespace gwt
