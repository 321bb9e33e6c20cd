#pragma once

#include "gateway/quota/LeaseRules.h"

#include <map>
#include <string>
#include <vector>

namespace gwt {

/// \brief Votes that other hosts have given for the leases of this process; does no I/O.
class LeaseVotes
{
public:
    explicit LeaseVotes(LeaseRules rules);

    /// \brief Records a vote of \a host that was asked for at \a calledAt.
    void record(const std::string &host, TimePoint calledAt);
    /// \brief True if \a host has voted, asked at \a time or later.
    bool hasVotedSince(const std::string &host, TimePoint time) const;
    /// \brief Time of the calls by which enough of \a voters had voted; the epoch if never.
    TimePoint quorumAt(const std::vector<std::string> &voters) const;
    /// \brief True if enough of \a voters have a valid vote; always without voters.
    bool suffice(const std::vector<std::string> &voters, TimePoint now) const;

private:
    const LeaseRules m_rules;
    std::map<std::string, TimePoint> m_votedAt; ///< by host
};

} // namespace gwt
