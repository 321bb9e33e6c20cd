#pragma once

#include "common/Metrics.h"
#include "gateway/policy/LogRateLimiter.h"

#include <map>
#include <string>
#include <utility>

namespace gwt {

/// \brief How a request of a caller ended.
enum class RequestEnd {
    Served, ///< with the answer of backend servers
    Partial, ///< served without some shards
    Refused, ///< not run, with a time to come back
    Failed, ///< without an answer
    Abandoned ///< the caller left first
};

/// \brief Stable lower-case name of \a end, as used in logs and metrics.
const char *toString(RequestEnd end);

/// \brief Counts and times the ends of requests, and says which of them get a log line.
class RequestRecorder
{
public:
    explicit RequestRecorder(Metrics &metrics);

    /// \brief Counts the end of a request; true if a line may be written about it.
    bool record(RequestEnd end, int rank, Duration elapsed, TimePoint now);
    /// \brief Counts why requests were refused or failed.
    void countReason(RequestEnd end, const std::string &reason);
    void countMissing(const std::string &reason, int shards);

private:
    Metrics &m_metrics;
    LogRateLimiter m_logLimiter;
    std::map<std::pair<RequestEnd, int>, prometheus::Histogram *> m_latencies;
    prometheus::Counter &m_linesLeftOut;
};

} // namespace gwt
