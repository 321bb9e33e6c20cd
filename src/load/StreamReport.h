#pragma once

#include "common/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace gwt {

enum class RequestOutcome { Answered, Refused, Failed, Unknown };

/// \brief Outcome and figures of one request.
struct RequestRecord
{
    Duration arrival{0}; ///< intended, after the start of the run
    Duration latency{0}; ///< from the intended arrival to the answer
    RequestOutcome outcome = RequestOutcome::Failed;
    bool isInTarget
        = false; ///< answered within the rank's target, at its minimum coverage or above
    std::uint16_t shards = 0;
    std::uint16_t shardsAnswered = 0;
    std::uint32_t extraAttempts = 0; ///< hedges and retries
};

/// \brief Outcomes and figures of the requests of one stream.
struct StreamReport
{
    std::string name;
    std::string rank;
    bool isBooking = false;
    std::uint64_t sent = 0;
    std::uint64_t answered = 0; ///< searches with 200, bookings done
    std::uint64_t complete = 0; ///< searches that covered all shards
    std::uint64_t inTarget = 0; ///< see RequestRecord::isInTarget
    std::uint64_t unknown = 0; ///< bookings of unknown outcome
    std::uint64_t failed = 0; ///< no usable answer
    std::uint64_t shards = 0; ///< sum over all answers
    std::uint64_t shardsAnswered = 0;
    std::uint64_t extraAttempts = 0;
    std::uint64_t violationCount = 0; ///< answers that violate a guarantee
    std::map<std::string, std::uint64_t> refused; ///< by reason
    std::vector<RequestRecord> records; ///< in order of completion
    std::map<std::string, std::string> doneBookings; ///< result by key
    std::vector<std::string> notRunBookings; ///< keys of bookings reported as not run
    std::vector<std::string> violations; ///< violated guarantees, one line each
};

} // namespace gwt
