#pragma once

namespace gwt {

/// \brief Outcome of an attempt as evidence of the replica's health.
enum class AttemptOutcome {
    Answered, ///< a complete reply arrived
    Failed, ///< connection lost, deadline exceeded, or unusable reply
    Overrun, ///< abandoned because another replica replied first
    Neutral ///< no evidence: the caller cancelled, or the server shed the request
};

} // namespace gwt
