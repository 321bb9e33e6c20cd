#include "gateway/forwarding/TeamRequestCounter.h"

namespace gwt {

namespace {

const std::string metricName = "gwt_gateway_team_requests_total";

} // namespace

TeamRequestCounter::TeamRequestCounter(Metrics &metrics)
    : m_metrics(metrics)
{ }

void TeamRequestCounter::count(const std::string &team, RequestEnd end)
{
    if (!m_teams.contains(team))
        return;
    prometheus::Counter *&counter = m_counters[{team, end}];
    if (!counter)
        counter = &m_metrics.counter(metricName, "Requests of teams, by their end",
                                     {{"team", team}, {"end", toString(end)}});
    counter->Increment();
}

void TeamRequestCounter::setTeams(std::set<std::string> teams)
{
    m_teams = std::move(teams);
    std::erase_if(m_counters, [&](const auto &each) {
        if (m_teams.contains(each.first.first))
            return false;
        m_metrics.removeCounter(metricName, *each.second);
        return true;
    });
}

} // namespace gwt
