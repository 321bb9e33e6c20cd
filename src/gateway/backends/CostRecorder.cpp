#include "gateway/backends/CostRecorder.h"

#include "gateway/backends/CostSample.h"
#include "http/StatusClass.h"

namespace gwt {

CostRecorder::CostRecorder(CostEstimator &estimator, Metrics &metrics)
    : m_estimator(estimator)
    , m_metrics(metrics)
{ }

void CostRecorder::readReport(BackendServer &server, const WireResponse &head,
                              const HeaderNames &names, TimePoint now)
{
    const auto field = head.find(names.serverLoad);
    if (field == head.end())
        return;
    const auto report = parseLoadReport(std::string_view(field->value()));
    if (report)
        server.work().recordReport(*report, now);
}

void CostRecorder::learn(const BackendAttempt &attempt, const AttemptReply &reply,
                         const std::map<std::string, std::shared_ptr<BackendServer>> &servers,
                         TimePoint now)
{
    // Only a full answer costs what the request costs.
    const bool isAnswered = reply.result == AttemptResult::Answered
        && statusClassOf(reply.response->result_int()) == StatusClass::Successful;
    if (!isAnswered || !attempt.costKind)
        return;
    std::vector<double> paces;
    paces.reserve(servers.size());
    for (const auto &[id, server] : servers)
        paces.push_back(server->work().pace(now));
    ServerWork &work = attempt.server->work();
    const Duration wait = work.waited(attempt.number, now);
    const CostSample sample = makeCostSample(reply.elapsed, wait, attempt.cost.mean, work.pace(now),
                                             medianPace(std::move(paces)));
    work.recordPace(sample.paceRatio, sample.paceWeight, now);
    const CostKind &kind = *attempt.costKind;
    m_estimator.record(kind, attempt.cost, sample.cost, now);
    Counters &counters = countersOf(kind.route);
    counters.estimated.Increment(std::chrono::duration<double>(attempt.cost.mean).count());
    counters.actual.Increment(std::chrono::duration<double>(sample.cost).count());
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
