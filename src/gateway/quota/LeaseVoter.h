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
    /// \brief Records whether this process has just reached \a host.
    void recordProbe(const std::string &host, bool isReached, TimePoint now);
    /// \brief Withdraws the vote for process \a incarnation on \a host, which a candidate cannot
    /// reach; false if the last vote has not expired yet.
    ///
    /// If this process cannot reach \a host either, it gives no further votes for
    /// LeaseRules::suspensionTime, so that the last one expires.
    bool withdraw(const std::string &host, const std::string &incarnation, TimePoint now);
    std::size_t size() const { return m_votes.size(); }

private:
    struct Vote
    {
        TimePoint expiresAt;
        TimePoint withdrawnUntil;
        TimePoint suspendedUntil;
    };

    void dropExpired(TimePoint now);
    bool cannotReach(const std::string &host, TimePoint now) const;

    const LeaseRules m_rules;
    const TimePoint m_start;
    std::map<std::string, Vote> m_votes; ///< by incarnation
    std::map<std::string, TimePoint> m_failedProbes; ///< time of the last probe, if it failed
};

} // namespace gwt
