#include "gateway/quota/LeaseVoter.h"

#include <algorithm>

namespace gwt {

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

bool LeaseVoter::withdraw(const std::string &incarnation, TimePoint now)
{
    dropExpired(now);
    if (now < m_start + m_rules.voteExpiry)
        return false;
    Vote &vote = m_votes[incarnation];
    if (now < vote.expiresAt)
        return false;
    vote.withdrawnUntil = now + m_rules.withdrawalTime;
    return true;
}

void LeaseVoter::suspend(const std::string &incarnation, TimePoint now)
{
    m_votes[incarnation].suspendedUntil = now + m_rules.suspensionTime;
}

void LeaseVoter::dropExpired(TimePoint now)
{
    std::erase_if(m_votes, [now](const auto &each) {
        const Vote &vote = each.second;
        return now >= std::max({vote.expiresAt, vote.withdrawnUntil, vote.suspendedUntil});
    });
}

} // namespace gwt
