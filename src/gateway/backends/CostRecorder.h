#pragma once

#include "common/Metrics.h"
#include "gateway/policy/CostEstimator.h"

#include <map>
#include <string>

namespace gwt {

/// \brief Records the actual costs of requests for the estimator and in the metrics.
class CostRecorder
{
public:
    /// \brief \a estimator and \a metrics outlive this.
    CostRecorder(CostEstimator &estimator, Metrics &metrics);

    const CostEstimator &estimator() const { return m_estimator; }
    void record(const CostKind &kind, const CostEstimate &estimate, Duration cost, TimePoint now);

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
