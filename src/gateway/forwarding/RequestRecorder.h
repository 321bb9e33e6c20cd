#pragma once

#include "common/LogRateLimiter.h"
#include "common/Metrics.h"
#include "gateway/forwarding/RequestEnd.h"
#include "gateway/forwarding/TeamRequestCounter.h"
#include "gateway/routing/Team.h"

#include <map>
#include <string>
#include <utility>

namespace gwt {

/// \brief Records the outcome and latency of requests and limits the rate of their log lines.
class RequestRecorder
{
public:
    explicit RequestRecorder(Metrics &metrics);

    /// \brief Records the end of a request of \a team, null if it has none; returns true if it may
    /// be logged.
    bool record(RequestEnd end, int rank, const Team *team, Duration elapsed, TimePoint now);
    /// \brief Sets the teams of the configuration in force.
    void setTeams(const std::vector<Team> &teams);
    /// \brief Counts why requests were refused or failed.
    void countReason(RequestEnd end, const std::string &reason);
    void countMissing(const std::string &reason, int shards);

private:
    Metrics &m_metrics;
    TeamRequestCounter m_teamRequests;
    LogRateLimiter m_logLimiter;
    std::map<std::pair<RequestEnd, int>, prometheus::Histogram *> m_latencies;
    prometheus::Counter &m_suppressedLines;
};

} // namespace gwt
