#include "gateway/quota/LeaseVoter.h"

#include <algorithm>

namespace gwt {

namespace {

/// Age up to which a failed probe tells that this host cannot reach another one.
constexpr std::chrono::seconds failedProbeLifetime{1};

} // namespace

LeaseVoter::LeaseVoter(LeaseRules rules, TimePoint start)
    : m_rules(rules)
    , m_start(start)
{ }

bool LeaseVoter::vote(const std::string &incarnation, TimePoint now)
{
    dropExpired(now);
    Vote &vote = m_votes[incarnation];
    if (now < std::max(vote.withdrawnUntil, vote.suspendedUntil))
        return false;
    vote.expiresAt = now + m_rules.voteExpiry;
    return true;
}

void LeaseVoter::recordProbe(const std::string &host, bool isReached, TimePoint now)
{
    if (isReached)
        m_failedProbes.erase(host);
    else
        m_failedProbes[host] = now;
}

bool LeaseVoter::cannotReach(const std::string &host, TimePoint now) const
{
    const auto failed = m_failedProbes.find(host);
    return failed != m_failedProbes.end() && now - failed->second <= failedProbeLifetime;
}

bool LeaseVoter::withdraw(const std::string &host, const std::string &incarnation, TimePoint now)
{
    dropExpired(now);
    if (now < m_start + m_rules.voteExpiry)
        return false;
    Vote &vote = m_votes[incarnation];
    const bool hasExpired = now >= vote.expiresAt;
    if (hasExpired)
        vote.withdrawnUntil = now + m_rules.withdrawalTime;
    else if (cannotReach(host, now))
        vote.suspendedUntil = now + m_rules.suspensionTime;
    return hasExpired;
}

void LeaseVoter::dropExpired(TimePoint now)
{
    std::erase_if(m_failedProbes,
                  [now](const auto &each) { return now - each.second > failedProbeLifetime; });
    std::erase_if(m_votes, [now](const auto &each) {
        const Vote &vote = each.second;
        return now >= std::max({vote.expiresAt, vote.withdrawnUntil, vote.suspendedUntil});
    });
}

} // namespace gwt
