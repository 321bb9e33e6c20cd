#pragma once

#include "common/Metrics.h"
#include "gateway/forwarding/RequestEnd.h"

#include <map>
#include <set>
#include <string>
#include <utility>

namespace gwt {

/// \brief Counts the requests of each team by their end.
///
/// The metric has only the teams of the configuration in force as label values, so that their
/// number stays bounded while teams are replaced.
class TeamRequestCounter
{
public:
    explicit TeamRequestCounter(Metrics &metrics);

    /// \brief Counts a request of \a team, unless the configuration in force lacks the team.
    void count(const std::string &team, RequestEnd end);
    /// \brief Sets the teams of the configuration in force; removes the counts of others.
    void setTeams(std::set<std::string> teams);

private:
    Metrics &m_metrics;
    std::set<std::string> m_teams;
    std::map<std::pair<std::string, RequestEnd>, prometheus::Counter *> m_counters;
};

} // namespace gwt
