#include "gateway/forwarding/RequestRecorder.h"

namespace gwt {

RequestRecorder::RequestRecorder(Metrics &metrics)
    : m_metrics(metrics)
    , m_teamRequests(metrics)
    , m_suppressedLines(metrics.counter("gwt_gateway_log_lines_left_out_total",
                                        "Lines about requests that were not written"))
{ }

void RequestRecorder::setTeams(const std::vector<Team> &teams)
{
    std::set<std::string> names;
    for (const Team &team : teams)
        names.insert(team.name);
    m_teamRequests.setTeams(std::move(names));
}

bool RequestRecorder::record(RequestEnd end, int rank, const Team *team, Duration elapsed,
                             TimePoint now)
{
    if (team)
        m_teamRequests.count(team->name, end);
    prometheus::Histogram *&latency = m_latencies[{end, rank}];
    if (!latency) {
        latency = &m_metrics.latency("gwt_gateway_request_seconds",
                                     "Time from the first byte of a request to its end",
                                     {{"rank", std::to_string(rank)}, {"end", toString(end)}});
    }
    latency->Observe(std::chrono::duration<double>(elapsed).count());
    const bool isServed = end == RequestEnd::Served || end == RequestEnd::Partial;
    const bool isLogged
        = isServed ? m_logLimiter.allowServed(now) : m_logLimiter.allowUnserved(now);
    if (!isLogged)
        m_suppressedLines.Increment();
    return isLogged;
}

void RequestRecorder::countReason(RequestEnd end, const std::string &reason)
{
    m_metrics
        .counter("gwt_gateway_unserved_total", "Requests that were refused or failed, by reason",
                 {{"end", toString(end)}, {"reason", reason}})
        .Increment();
}

void RequestRecorder::countMissing(const std::string &reason, int shards)
{
    m_metrics
        .counter("gwt_gateway_missing_shards_total", "Shards missing from queries, by reason",
                 {{"reason", reason}})
        .Increment(shards);
}

} // namespace gwt
