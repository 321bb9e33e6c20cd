#pragma once

#include "load/LoadOptions.h"
#include "load/StreamReport.h"

namespace gwt {

/// \brief Figures of the requests of one stream that arrived in a given interval.
struct LoadSummary
{
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t inTarget = 0;
    std::uint64_t complete = 0; ///< answers that covered all shards
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t shards = 0; ///< sum over all answers
    std::uint64_t shardsAnswered = 0;
    std::uint64_t extraAttempts = 0;
    Duration p50{0}; ///< of the answered requests
    Duration p99{0};
    Duration p999{0};

    /// \brief Returns the share of shards that the answers covered, 0 to 1; 1 without answers.
    double coverage() const;
};

/// \brief Summarizes the requests of \a report that arrived in [\a from, \a until).
LoadSummary summarize(const StreamReport &report, Duration from, Duration until);

/// \brief Summarizes all requests of \a report.
LoadSummary summarize(const StreamReport &report);

/// \brief Returns the \a share quantile (0 to 1) of \a latencies; zero if there are none.
Duration quantile(std::vector<Duration> latencies, double share);

} // namespace gwt
