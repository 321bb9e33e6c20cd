#include "gateway/quota/LeaseVotes.h"

#include <algorithm>
#include <functional>

namespace gwt {

LeaseVotes::LeaseVotes(LeaseRules rules)
    : m_rules(rules)
{ }

void LeaseVotes::record(const std::string &host, TimePoint calledAt)
{
    TimePoint &votedAt = m_votedAt[host];
    votedAt = std::max(votedAt, calledAt);
}

bool LeaseVotes::hasVotedSince(const std::string &host, TimePoint time) const
{
    const auto votedAt = m_votedAt.find(host);
    return votedAt != m_votedAt.end() && votedAt->second >= time;
}

TimePoint LeaseVotes::quorumAt(const std::vector<std::string> &voters) const
{
    std::vector<TimePoint> times;
    for (const std::string &voter : voters) {
        if (const auto votedAt = m_votedAt.find(voter); votedAt != m_votedAt.end())
            times.push_back(votedAt->second);
    }
    const std::size_t needed = votesNeeded(voters.size());
    if (needed == 0 || times.size() < needed)
        return TimePoint();
    std::sort(times.begin(), times.end(), std::greater<>());
    return times[needed - 1];
}

bool LeaseVotes::suffice(const std::vector<std::string> &voters, TimePoint now) const
{
    return voters.empty() || now - quorumAt(voters) <= m_rules.voteLifetime;
}

} // namespace gwt
