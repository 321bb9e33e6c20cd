#pragma once

namespace gwt {

/// \brief How a leg's time in a slot ended, as far as it tells of the replica.
enum class AttemptOutcome {
    Answered, ///< a whole reply came
    Failed, ///< connection lost, deadline passed, or a reply that cannot be used
    Overrun, ///< given up for a faster replica
    Neutral ///< says nothing of the replica: the caller left, or the server shed the leg
};

} // namespace gwt
