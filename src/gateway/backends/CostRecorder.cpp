#include "gateway/backends/CostRecorder.h"

namespace gwt {

CostRecorder::CostRecorder(CostEstimator &estimator, Metrics &metrics)
    : m_estimator(estimator)
    , m_metrics(metrics)
{ }

void CostRecorder::record(const CostKind &kind, const CostEstimate &estimate, Duration cost,
                          TimePoint now)
{
    m_estimator.record(kind, estimate, cost, now);
    Counters &counters = countersOf(kind.route);
    counters.estimated.Increment(std::chrono::duration<double>(estimate.mean).count());
    counters.actual.Increment(std::chrono::duration<double>(cost).count());
}

CostRecorder::Counters &CostRecorder::countersOf(const std::string &route)
{
    const auto found = m_counters.find(route);
    if (found != m_counters.end())
        return found->second;
    const MetricLabels labels{{"route", route}};
    Counters counters{m_metrics.counter("gwt_gateway_cost_estimated_seconds_total",
                                        "Expected cost of the requests that were answered", labels),
                      m_metrics.counter("gwt_gateway_cost_actual_seconds_total",
                                        "Cost of the same requests as observed", labels)};
    return m_counters.emplace(route, counters).first->second;
}

} // namespace gwt
