#include "gateway/quota/LeaseElectorate.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace gwt {

namespace {

/// Pause between two calls to a host that does not vote, as long as another one can be asked.
constexpr std::chrono::seconds failurePause{4};

} // namespace

LeaseElectorate::LeaseElectorate(LeaseRules rules, FleetMember self, const LeaseVotes &votes)
    : m_rules(rules)
    , m_self(std::move(self))
    , m_votes(votes)
{ }

void LeaseElectorate::setMembers(const std::vector<FleetMember> &members)
{
    // The first hosts of all zones, then the second ones; the own zone comes last each time.
    std::map<std::string, std::vector<std::pair<std::uint64_t, std::string>>> zones;
    for (const FleetMember &member : members) {
        if (member.name != m_self.name) {
            const std::uint64_t key = XXH64(member.name.data(), member.name.size(), 0);
            zones[member.availabilityZone].emplace_back(key, member.name);
        }
    }
    std::vector<std::tuple<std::size_t, bool, std::uint64_t, std::string>> ordered;
    for (auto &[zone, hosts] : zones) {
        std::sort(hosts.begin(), hosts.end());
        for (std::size_t i = 0; i < hosts.size(); ++i) {
            const auto &[key, name] = hosts[i];
            ordered.emplace_back(i, zone == m_self.availabilityZone, key, name);
        }
    }
    std::sort(ordered.begin(), ordered.end());
    m_hosts.clear();
    for (const auto &[position, isOwnZone, key, name] : ordered)
        m_hosts.push_back(name);
    std::erase_if(m_failedAt, [this](const auto &each) {
        return std::find(m_hosts.begin(), m_hosts.end(), each.first) == m_hosts.end();
    });
}

std::vector<std::string> LeaseElectorate::prospects(TimePoint now) const
{
    std::vector<std::string> hosts;
    for (const std::string &host : m_hosts) {
        const auto failedAt = m_failedAt.find(host);
        const bool isPaused = failedAt != m_failedAt.end() && now - failedAt->second < failurePause
            && !m_votes.hasVotedSince(host, now - m_rules.voterReplacementTime);
        if (!isPaused && hosts.size() < m_rules.voterCount)
            hosts.push_back(host);
    }
    return hosts;
}

std::vector<std::string> LeaseElectorate::voters(TimePoint now) const
{
    std::vector<std::string> hosts;
    for (const std::string &host : m_hosts) {
        if (hosts.size() < m_rules.voterCount
            && m_votes.hasVotedSince(host, now - m_rules.voteLifetime))
            hosts.push_back(host);
    }
    return hosts;
}

bool LeaseElectorate::isIsolated(TimePoint now) const
{
    return voters(now).size() < votesNeeded(std::min(m_rules.voterCount, m_hosts.size()));
}

std::optional<std::vector<std::string>>
LeaseElectorate::replacement(const std::vector<std::string> &current, Duration age,
                             TimePoint now) const
{
    if (age < m_rules.voterReplacementTime)
        return std::nullopt;
    const auto voting = static_cast<std::size_t>(
        std::count_if(current.begin(), current.end(), [&](const std::string &host) {
            return m_votes.hasVotedSince(host, now - m_rules.voterReplacementTime);
        }));
    std::vector<std::string> chosen = voters(now);
    const bool isMinority = chosen.size() < votesNeeded(current.size());
    if (isMinority && !m_hosts.empty() && now - m_votes.quorumAt(current) < m_rules.isolationTime)
        return std::nullopt;
    const bool bearsLoss = voting >= std::min(current.size(), votesNeeded(current.size()) + 1);
    const bool isDue = !bearsLoss || chosen.size() > current.size()
        || (age >= m_rules.voterReviewTime && chosen.size() == current.size());
    return isDue && chosen != current ? std::optional(std::move(chosen)) : std::nullopt;
}

} // namespace gwt
