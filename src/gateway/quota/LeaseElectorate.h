#pragma once

#include "gateway/quota/LeaseVotes.h"
#include "gateway/sharing/FleetMember.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace gwt {

/// \brief Chooses the hosts that vote on the leases of this process, from those that vote for it
/// now; spread over the availability zones, so that a holder whose zone is cut off lacks votes.
/// Does no I/O.
class LeaseElectorate
{
public:
    /// \brief \a votes are those given for this process.
    LeaseElectorate(LeaseRules rules, FleetMember self, const LeaseVotes &votes);

    void setMembers(const std::vector<FleetMember> &members);
    /// \brief Records that \a host, asked at \a calledAt, did not vote for this process.
    void recordFailure(const std::string &host, TimePoint calledAt) { m_failedAt[host] = calledAt; }
    /// \brief The hosts to ask for votes, in order of preference.
    std::vector<std::string> prospects(TimePoint now) const;
    /// \brief The hosts to name as voters now; none if none votes for this process.
    std::vector<std::string> voters(TimePoint now) const;
    /// \brief True if only a minority of the hosts to ask votes for this process.
    bool isIsolated(TimePoint now) const;
    /// \brief The voters to name instead of \a current, which were named \a age ago; nullopt if
    /// \a current may stay.
    ///
    /// Voters of second choice stay for LeaseRules::voterReviewTime, unless the loss of one more
    /// would leave too few votes. Fewer hosts than the votes that \a current needs replace them
    /// only after LeaseRules::isolationTime, in which others could take the lease.
    std::optional<std::vector<std::string>> replacement(const std::vector<std::string> &current,
                                                        Duration age, TimePoint now) const;

private:
    const LeaseRules m_rules;
    const FleetMember m_self;
    const LeaseVotes &m_votes;
    std::vector<std::string> m_hosts; ///< other hosts, in order of preference
    std::map<std::string, TimePoint> m_failedAt; ///< last call that got no vote, by host
};

} // namespace gwt
