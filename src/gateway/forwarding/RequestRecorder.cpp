#include "gateway/forwarding/RequestRecorder.h"

namespace gwt {

const char *toString(RequestEnd end)
{
    switch (end) {
    case RequestEnd::Served:
        return "served";
    case RequestEnd::Partial:
        return "partial";
    case RequestEnd::Refused:
        return "refused";
    case RequestEnd::Failed:
        return "failed";
    case RequestEnd::Abandoned:
        return "abandoned";
    }
    return "";
}

RequestRecorder::RequestRecorder(Metrics &metrics)
    : m_metrics(metrics)
    , m_suppressedLines(metrics.counter("gwt_gateway_log_lines_left_out_total",
                                        "Lines about requests that were not written"))
{ }

bool RequestRecorder::record(RequestEnd end, int rank, Duration elapsed, TimePoint now)
{
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
