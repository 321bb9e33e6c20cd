#pragma once

namespace gwt {

/// \brief Outcome of an attempt as evidence of the replica's health.
enum class AttemptOutcome {
    Answered, ///< a complete reply arrived
    Failed, ///< connection lost or unusable reply
    /// Abandoned for a faster replica, or timed out far beyond the mean slot time.
    Overrun,
    Neutral ///< no evidence: the caller cancelled, or the server shed the request
};

} // namespace gwt
