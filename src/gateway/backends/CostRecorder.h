#pragma once

#include "common/Metrics.h"
#include "gateway/backends/BackendAttempt.h"
#include "gateway/backends/BackendServer.h"

#include <map>
#include <string>

namespace gwt {

/// \brief Learns costs and the pace of servers from their replies, and records them in the metrics.
class CostRecorder
{
public:
    /// \brief \a estimator and \a metrics outlive this.
    CostRecorder(CostEstimator &estimator, Metrics &metrics);

    const CostEstimator &estimator() const { return m_estimator; }
    /// \brief Reads the load report in \a head, a response of \a server, if there is one.
    static void readReport(BackendServer &server, const WireResponse &head,
                           const HeaderNames &names, TimePoint now);
    /// \brief Learns from \a reply to \a attempt, which is still in flight at one of \a servers,
    /// all of its service. Replies other than successes are ignored.
    void learn(const BackendAttempt &attempt, const AttemptReply &reply,
               const std::map<std::string, std::shared_ptr<BackendServer>> &servers, TimePoint now);

private:
    struct Counters
    {
        prometheus::Counter &estimated;
        prometheus::Counter &actual;
    };

    Counters &countersOf(const std::string &route);

    CostEstimator &m_estimator;
    Metrics &m_metrics;
    std::map<std::string, Counters> m_counters; ///< by route; a lookup in Metrics takes a lock
};

} // namespace gwt
