#pragma once

#include "common/Time.h"

#include <cstddef>

namespace gwt {

/// \brief Timing of leases.
struct LeaseRules
{
    /// A holder without a proof of its lease that is more recent than this grants nothing, and a
    /// new holder waits so long: then at most one of them grants at any time. Covers most outages
    /// of the store. A new holder need not wait if the former one has certainly stopped.
    Duration proofLimit = std::chrono::seconds(8);
    /// Without a reply until a challenge of a lease without voters.
    Duration silenceLimit = std::chrono::seconds(1);
    /// The same for a lease with voters: time to obtain their withdrawals first.
    Duration votedSilenceLimit = std::chrono::seconds(3);
    /// The same for a process that reaches only a minority of the hosts it asks for votes. It has
    /// more likely been cut off than lost all others; most cuts and restarts are shorter.
    Duration isolatedSilenceLimit = std::chrono::seconds(15);
    /// Time for which a holder that was replaced leaves a silent successor to the other candidates.
    /// If only the link between the two is down, they would replace each other without end, and
    /// each change costs the wait. Three times that, so that one of them grants most of the time.
    Duration replacedPause = std::chrono::seconds(30);
    Duration turn = std::chrono::seconds(2); ///< between two candidates for a vacant lease
    /// After the store has returned from an older copy, until another process than the holder takes
    /// the lease. The holder learns of it with its watch, which lasts up to 2 s.
    Duration retakeTime = std::chrono::seconds(3);

    /// Age of a vote, from the call that asked for it, up to which its holder may act on it. Bears
    /// three lost calls in a row.
    Duration voteLifetime = std::chrono::milliseconds(1100);
    /// Time after a vote until its voter may withdraw it. Longer than the lifetime by the time that
    /// a granted request takes to its backend server, and by the drift of clocks.
    Duration voteExpiry = std::chrono::milliseconds(1200);
    /// Age of a withdrawal up to which it saves a new holder the wait.
    Duration withdrawalLifetime = std::chrono::seconds(2);
    /// Time for which a withdrawn vote is not given again. Once it has passed, the former holder
    /// has either seen its successor in the store or no recent proof: longer than proofLimit and
    /// withdrawalLifetime together.
    Duration withdrawalTime = std::chrono::seconds(12);
    /// Time without votes for a holder that a candidate and the voter cannot reach; longer than a
    /// vote, and renewed while the candidate asks.
    Duration suspensionTime = std::chrono::seconds(3);
    /// Voters of a lease; two of them may be lost at once.
    std::size_t voterCount = 5;
    /// Time without a vote until voters are replaced, and between two such changes of a lease.
    Duration voterReplacementTime = std::chrono::seconds(2);
    /// Time until voters of second choice make room for those of first choice that vote again.
    Duration voterReviewTime = std::chrono::seconds(5);
    /// Time without a vote of any host until a holder that reaches the store names no voters: the
    /// others had time to replace it, so they have probably ended.
    Duration isolationTime = std::chrono::seconds(4);
};

/// \brief Votes that the holder of a lease with \a voters voters needs.
constexpr std::size_t votesNeeded(std::size_t voters)
{
    return (voters + 1) / 2;
}

/// \brief Withdrawals that leave a holder too few votes; there is none without voters.
constexpr std::size_t withdrawalsNeeded(std::size_t voters)
{
    return voters / 2 + 1;
}

} // namespace gwt
