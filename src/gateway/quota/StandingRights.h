#pragma once

#include "gateway/quota/QuotaRules.h"
#include "gateway/sharing/FleetMember.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace gwt {

/// \brief Requests that this host may admit without a coordinator: a part of the tolerance of each
/// quota, divided over the hosts.
///
/// Handles the time in which a coordinator is lost or this host is cut off. All hosts compute the
/// same division, by rendezvous hashing of team and host. Does no I/O.
class StandingRights
{
public:
    /// \brief There are no rights for one window after \a start, the start of this process: the one
    /// before it may have used them.
    StandingRights(QuotaRules rules, std::string self, TimePoint start);

    void setMembers(const std::vector<FleetMember> &members);
    /// \brief Uses one right of this host for \a team; false if it has none left in this window.
    bool tryUse(const Team &team, TimePoint now);
    /// \brief Requests of \a team that this host may admit in each window.
    std::size_t rightsFor(const Team &team) const;

private:
    const QuotaRules m_rules;
    const std::string m_self;
    const TimePoint m_start;
    std::vector<std::string> m_hosts;
    std::map<std::string, std::deque<TimePoint>> m_uses; ///< by name of the team
};

} // namespace gwt
