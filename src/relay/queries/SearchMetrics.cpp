#include "relay/queries/SearchMetrics.h"

namespace gwt {

SearchMetrics::SearchMetrics(Metrics &metrics)
    : m_metrics(metrics)
{ }

void SearchMetrics::countMissingShard(const std::string &reason, const std::string &rank)
{
    m_metrics
        .counter("gwt_relay_missing_shards_total", "Shards that a slice search did not answer",
                 {{"reason", reason}, {"rank", rank}})
        .Increment();
}

void SearchMetrics::countExtraAttempt(ExtraAttempt kind, const std::string &rank)
{
    const bool isHedge = kind == ExtraAttempt::Hedge;
    m_metrics
        .counter(isHedge ? "gwt_relay_hedges_total" : "gwt_relay_retries_total",
                 isHedge ? "Legs sent to a second replica because the first was slow"
                         : "Legs sent to a second replica because the first failed",
                 {{"rank", rank}})
        .Increment();
}

void SearchMetrics::countExtraAttemptWin(const std::string &rank)
{
    m_metrics
        .counter("gwt_relay_extra_leg_wins_total", "Extra legs whose reply was used",
                 {{"rank", rank}})
        .Increment();
}

void SearchMetrics::countDeniedExtraAttempt(const std::string &reason, const std::string &rank)
{
    m_metrics
        .counter("gwt_relay_extra_legs_denied_total", "Extra legs that were due but not sent",
                 {{"reason", reason}, {"rank", rank}})
        .Increment();
}

void SearchMetrics::countCancelledAttempt(const std::string &rank)
{
    m_metrics
        .counter("gwt_relay_legs_cancelled_total", "Legs given up after the other had answered",
                 {{"rank", rank}})
        .Increment();
}

void SearchMetrics::countFailedAttempt(const std::string &reason, const std::string &rank)
{
    m_metrics
        .counter("gwt_relay_failed_legs_total", "Attempts that gave no reply to merge",
                 {{"reason", reason}, {"rank", rank}})
        .Increment();
}

void SearchMetrics::countRejectedReply(const std::string &reason, const std::string &rank)
{
    m_metrics
        .counter("gwt_relay_rejected_replies_total", "Backend server replies that were not merged",
                 {{"reason", reason}, {"rank", rank}})
        .Increment();
}

void SearchMetrics::countRefusedSearch(const std::string &reason, const std::string &rank)
{
    m_metrics
        .counter("gwt_relay_refused_searches_total", "Slice searches of which nothing was run",
                 {{"reason", reason}, {"rank", rank}})
        .Increment();
}

} // namespace gwt
