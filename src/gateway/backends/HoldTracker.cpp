#include "gateway/backends/HoldTracker.h"

#include "common/Log.h"

namespace gwt {

namespace http = boost::beast::http;

HoldTracker::HoldTracker(const HeaderNames &headerNames, Metrics &metrics)
    : m_headerNames(headerNames)
    , m_metrics(metrics)
    , m_random(makeSeededEngine())
{ }

bool HoldTracker::isFromServer(const BackendServer &server, const WireResponse &head) const
{
    const auto id = head.find(m_headerNames.serverId);
    if (id != head.end())
        return id->value() == server.entry().id;
    return head.result() != http::status::misdirected_request;
}

std::optional<Duration> HoldTracker::pauseOf(const WireResponse &head) const
{
    const bool isRefusal = head.result() == http::status::service_unavailable
        || head.result() == http::status::too_many_requests;
    const auto field = head.find(http::field::retry_after);
    if (!isRefusal || field == head.end())
        return std::nullopt;
    const auto pause = parseRetryAfter({field->value().data(), field->value().size()});
    if (!pause) {
        m_metrics
            .counter("gwt_gateway_bad_retry_after_total",
                     "Retry-After values of backend servers that are not a time in seconds")
            .Increment();
    }
    return pause;
}

std::optional<TimePoint> HoldTracker::record(const std::string &service, BackendServer &server,
                                             const WireResponse &head, const std::string &requestId,
                                             TimePoint now)
{
    const bool isLeaving
        = head.count(m_headerNames.leaving) > 0 && head[m_headerNames.leaving] != "0";
    const bool isRelevant = isLeaving || head.count(http::field::retry_after) > 0;
    if (!isRelevant || !isFromServer(server, head))
        return std::nullopt;
    BackendHold &hold = server.hold();
    const HoldReason reasonBefore = hold.reason(now);
    const TimePoint untilBefore = hold.until();
    if (isLeaving)
        hold.recordLeaving();
    const std::optional<Duration> pause = pauseOf(head);
    if (pause && *pause > Duration::zero())
        hold.recordPause(*pause, std::uniform_real_distribution<>(0, 1)(m_random), now);
    const HoldReason reason = hold.reason(now);
    if (hold.until() <= untilBefore)
        return std::nullopt;
    if (reason == reasonBefore)
        return hold.until();
    m_metrics
        .counter("gwt_gateway_backend_holds_total",
                 "Times that a backend server asked for no further requests",
                 {{"reason", toString(reason)}})
        .Increment();
    if (m_logLimiter.allowUnserved(now)) {
        const auto left = std::chrono::duration_cast<Milliseconds>(hold.until() - now);
        logInfo("backend_hold_started",
                {{"service", service},
                 {"backend", server.entry().id},
                 {"reason", toString(reason)},
                 {"id", requestId},
                 {"status", head.result_int()},
                 {"left_ms", isLeaving ? -1 : left.count()}});
    }
    return hold.until();
}

void HoldTracker::logEnd(const std::string &service, const BackendServer &server, HoldReason reason,
                         const char *cause, TimePoint now)
{
    if (!m_logLimiter.allowUnserved(now))
        return;
    logInfo("backend_hold_ended",
            {{"service", service},
             {"backend", server.entry().id},
             {"reason", toString(reason)},
             {"cause", cause}});
}

void HoldTracker::retain(const BackendServer &server, TimePoint now)
{
    m_memory.store(server.entry(), server.hold(), now);
}

void HoldTracker::restore(BackendServer &server) const
{
    server.hold().merge(m_memory.find(server.entry()));
}

} // namespace gwt
