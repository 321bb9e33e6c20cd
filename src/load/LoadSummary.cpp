#include "load/LoadSummary.h"

#include <algorithm>
#include <cmath>

namespace gwt {

double LoadSummary::coverage() const
{
    return shards == 0 ? 1 : static_cast<double>(shardsAnswered) / static_cast<double>(shards);
}

Duration quantile(std::vector<Duration> latencies, double share)
{
    if (latencies.empty())
        return Duration{0};
    const auto rank
        = static_cast<std::size_t>(std::ceil(share * static_cast<double>(latencies.size())));
    const std::size_t at = std::min(latencies.size() - 1, rank == 0 ? 0 : rank - 1);
    std::nth_element(latencies.begin(), latencies.begin() + static_cast<std::ptrdiff_t>(at),
                     latencies.end());
    return latencies[at];
}

LoadSummary summarize(const StreamReport &report, Duration from, Duration until)
{
    LoadSummary summary;
    std::vector<Duration> latencies;
    for (const RequestRecord &record : report.records) {
        if (record.arrival < from || record.arrival >= until)
            continue;
        ++summary.sent;
        summary.refused += record.outcome == RequestOutcome::Refused ? 1 : 0;
        summary.failed += record.outcome == RequestOutcome::Failed ? 1 : 0;
        if (record.outcome != RequestOutcome::Answered)
            continue;
        ++summary.answered;
        summary.inTarget += record.isInTarget ? 1 : 0;
        summary.complete += record.shards == record.shardsAnswered ? 1 : 0;
        summary.shards += record.shards;
        summary.shardsAnswered += record.shardsAnswered;
        summary.extraAttempts += record.extraAttempts;
        latencies.push_back(record.latency);
    }
    summary.p50 = quantile(latencies, 0.5);
    summary.p99 = quantile(latencies, 0.99);
    summary.p999 = quantile(std::move(latencies), 0.999);
    return summary;
}

LoadSummary summarize(const StreamReport &report)
{
    return summarize(report, Duration::min(), Duration::max());
}

} // namespace gwt
