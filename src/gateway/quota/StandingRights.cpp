#include "gateway/quota/StandingRights.h"

#include <xxhash.h>

#include <algorithm>

namespace gwt {

namespace {

std::uint64_t weightOf(const std::string &team, const std::string &host)
{
    const std::uint64_t seed = XXH64(team.data(), team.size(), 0);
    return XXH64(host.data(), host.size(), seed);
}

} // namespace

StandingRights::StandingRights(QuotaRules rules, std::string self, TimePoint start)
    : m_rules(rules)
    , m_self(std::move(self))
    , m_start(start)
{ }

void StandingRights::setMembers(const std::vector<FleetMember> &members)
{
    m_hosts.clear();
    for (const FleetMember &member : members)
        m_hosts.push_back(member.name);
}

std::size_t StandingRights::rightsFor(const Team &team) const
{
    if (std::find(m_hosts.begin(), m_hosts.end(), m_self) == m_hosts.end())
        return 0;
    const auto total
        = static_cast<std::size_t>(standingToleranceShare * m_rules.toleranceOf(team.quota));
    const std::uint64_t own = weightOf(team.name, m_self);
    const auto ahead = static_cast<std::size_t>(
        std::count_if(m_hosts.begin(), m_hosts.end(), [&](const std::string &host) {
            const std::uint64_t weight = weightOf(team.name, host);
            return weight > own || (weight == own && host < m_self);
        }));
    return total / m_hosts.size() + (ahead < total % m_hosts.size() ? 1 : 0);
}

bool StandingRights::tryUse(const Team &team, TimePoint now)
{
    if (now < m_start + m_rules.window)
        return false;
    std::deque<TimePoint> &uses = m_uses[team.name];
    while (!uses.empty() && now - uses.front() > m_rules.window)
        uses.pop_front();
    if (uses.size() >= rightsFor(team)) {
        if (uses.empty())
            m_uses.erase(team.name);
        return false;
    }
    uses.push_back(now);
    return true;
}

} // namespace gwt
