#pragma once

#include "gateway/quota/LeaseRules.h"

#include <map>
#include <string>

namespace gwt {

/// \brief Votes of this process for the holders of leases.
///
/// A holder acts only while enough of its voters have voted for it within LeaseRules::voteLifetime.
/// A candidate that wants to replace it without a wait asks the same voters to withdraw: a voter
/// agrees once its last vote has expired, and then gives none for LeaseRules::withdrawalTime. Does
/// no I/O.
class LeaseVoter
{
public:
    /// \brief \a start is that of this process; the one before it may have voted until then.
    LeaseVoter(LeaseRules rules, TimePoint start);

    /// \brief Votes for the leases of process \a incarnation; false if the vote was withdrawn.
    bool vote(const std::string &incarnation, TimePoint now);
    /// \brief Withdraws the vote for \a incarnation; false if the last one has not expired yet.
    bool withdraw(const std::string &incarnation, TimePoint now);
    /// \brief Gives no votes for \a incarnation for LeaseRules::suspensionTime, so that the last
    /// one expires: this host cannot reach it, nor can the caller.
    void suspend(const std::string &incarnation, TimePoint now);
    std::size_t size() const { return m_votes.size(); }

private:
    struct Vote
    {
        TimePoint expiresAt;
        TimePoint withdrawnUntil;
        TimePoint suspendedUntil;
    };

    void dropExpired(TimePoint now);

    const LeaseRules m_rules;
    const TimePoint m_start;
    std::map<std::string, Vote> m_votes; ///< by incarnation
};

} // namespace gwt
