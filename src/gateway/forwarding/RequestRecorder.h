#pragma once

#include "common/Metrics.h"
#include "gateway/policy/LogRateLimiter.h"

#include <map>
#include <string>
#include <utility>

namespace gwt {

/// \brief How a request of a caller ended.
enum class RequestEnd {
    Served, ///< with a response of backend servers
    Partial, ///< served, with some shards missing
    Refused, ///< not run; usually answered with Retry-After
    Failed, ///< no usable response
    Abandoned ///< the caller disconnected first
};

/// \brief Returns the stable lower-case name of \a end, as used in logs and metrics.
const char *toString(RequestEnd end);

/// \brief Records the outcome and latency of requests and limits the rate of their log lines.
class RequestRecorder
{
public:
    explicit RequestRecorder(Metrics &metrics);

    /// \brief Records the end of a request; returns true if it may be logged.
    bool record(RequestEnd end, int rank, Duration elapsed, TimePoint now);
    /// \brief Counts why requests were refused or failed.
    void countReason(RequestEnd end, const std::string &reason);
    void countMissing(const std::string &reason, int shards);

private:
    Metrics &m_metrics;
    LogRateLimiter m_logLimiter;
    std::map<std::pair<RequestEnd, int>, prometheus::Histogram *> m_latencies;
    prometheus::Counter &m_suppressedLines;
};

} // namespace gwt
