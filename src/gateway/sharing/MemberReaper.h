#pragma once

#include "common/Time.h"
#include "gateway/sharing/FleetMember.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace gwt {

/// \brief Finds members that are gone for good, so that their shares of connections and repeats
/// fall to the others; pure decision code.
///
/// Answers the pattern of hosts that are replaced day by day under new names. Members are probed in
/// turn, one at a time, so that the load does not grow with the fleet. A process that is cut off
/// from the others finds all of them silent and removes none.
class MemberReaper
{
public:
    /// Between two probes; 3,400 members are gone through in two hours.
    static constexpr Duration s_probePause = std::chrono::seconds(2);
    /// Between the probes of one silent member.
    static constexpr Duration s_silentPause = std::chrono::seconds(20);
    /// For how long a member must be silent; a restart and a cut take seconds.
    static constexpr Duration s_silence = std::chrono::seconds(60);
    static constexpr int s_failures = 3; ///< probes in a row without an answer

    explicit MemberReaper(std::string self);

    void setMembers(const std::vector<FleetMember> &members);
    /// \brief The member to probe now; none if it is too early.
    std::optional<FleetMember> next(TimePoint now);
    /// \brief Takes the end of a probe; true if \a member is to be removed.
    bool note(const std::string &member, bool hasAnswered, TimePoint now);

private:
    struct Silence
    {
        TimePoint since;
        TimePoint probedAt;
        int failures = 0;
        int answersBefore = 0; ///< of other members, when it began
    };

    std::optional<FleetMember> silentMember(TimePoint now) const;

    const std::string m_self;
    std::map<std::string, FleetMember> m_members; ///< without this process
    std::map<std::string, Silence> m_silent;
    std::string m_last; ///< probed last in the turn
    TimePoint m_nextProbe;
    int m_answers = 0;
};

} // namespace gwt
