#include "gateway/forwarding/ServiceCall.h"

#include <algorithm>

namespace gwt {

namespace http = boost::beast::http;

namespace {

/// Sends of one call that ended without having run, beyond the attempts of its route.
constexpr int extraSends = 2;
/// A full backend server of few slots has room again after about one request's work.
constexpr Milliseconds refusalPause{15};

} // namespace

ServiceCall::ServiceCall(ForwardingContext &context, const RequestPlan &plan, std::string service,
                         Handler handler)
    : m_context(context)
    , m_plan(plan)
    , m_pool(context.backends.pool(service))
    , m_service(std::move(service))
    , m_handler(std::move(handler))
{ }

void ServiceCall::start()
{
    m_pool.budget().recordFirstSend(Clock::now());
    send();
}

bool ServiceCall::maySend() const
{
    const int mayRun = m_runs + static_cast<int>(m_legs.size());
    return m_handler && mayRun < m_plan.route->maxAttempts
        && m_sends < m_plan.route->maxAttempts + extraSends;
}

void ServiceCall::send(const std::string &only)
{
    auto leg = std::make_shared<Leg>();
    leg->request = m_plan.request;
    leg->rank = m_plan.route->rank;
    leg->isIdempotent = m_plan.route->isIdempotent;
    leg->deadline = m_plan.deadline;
    leg->typicalLatency = m_context.hedges.typicalLatency(m_plan.route->name, m_plan.route->target);
    if (only.empty())
        leg->avoid = m_tried;
    leg->only = only;
    leg->handler = [self = shared_from_this(), weak = std::weak_ptr(leg)](LegReply reply) {
        if (const auto ended = weak.lock())
            self->onReply(ended, std::move(reply));
    };
    ++m_sends;
    m_legs.push_back(leg);
    m_pool.submit(leg);
}

void ServiceCall::hedge(Duration age)
{
    if (!m_plan.route->isIdempotent || m_legs.size() != 1 || !maySend())
        return;
    const std::shared_ptr<Leg> leg = m_legs.front();
    const TimePoint now = Clock::now();
    if (!leg->server || now - leg->sentAt < age)
        return;
    const std::string first = leg->server->entry().id;
    if (std::find(m_tried.begin(), m_tried.end(), first) == m_tried.end())
        m_tried.push_back(first);
    const TimePoint target = m_plan.exchange->arrivedAt() + m_plan.route->target;
    const HedgeConditions conditions{m_pool.expectedLatency(leg->typicalLatency, m_tried, now),
                                     target - now, m_plan.deadline - now, now - leg->sentAt};
    if (!HedgeTimer::isHedgeUseful(conditions) || !takeRepeat(RetryKind::Hedge, now))
        return;
    countRepeat("hedge");
    send();
}

bool ServiceCall::isSuccess(const WireResponse &response) const
{
    return http::to_status_class(response.result()) == http::status_class::successful
        && response.count(m_context.names.signature) > 0;
}

bool ServiceCall::mayHaveRun() const
{
    return m_mayHaveRun || std::any_of(m_legs.begin(), m_legs.end(), [](const auto &leg) {
               return leg->server != nullptr;
           });
}

std::string ServiceCall::asked() const
{
    std::string text;
    for (const std::string &server : m_asked)
        text.append(text.empty() ? "" : ",").append(server);
    for (const std::shared_ptr<Leg> &leg : m_legs) {
        if (leg->server)
            text.append(text.empty() ? "" : ",").append(leg->server->entry().id);
    }
    return text;
}

void ServiceCall::onReply(const std::shared_ptr<Leg> &leg, LegReply reply)
{
    std::erase(m_legs, leg);
    if (!reply.backendId.empty())
        m_asked.push_back(reply.backendId);
    if (!m_handler)
        return;
    const bool mayHaveRun
        = reply.result == LegResult::Answered || reply.result == LegResult::Unknown;
    m_mayHaveRun = m_mayHaveRun || mayHaveRun;
    if (mayHaveRun && !reply.isOverLimit)
        ++m_runs;
    if (reply.result == LegResult::Answered && isSuccess(*reply.response)) {
        m_context.hedges.record(m_plan.route->name, reply.elapsed);
        ServiceReply success;
        success.response = std::move(reply.response);
        success.isSuccess = true;
        success.mayHaveRun = true;
        finish(std::move(success));
        return;
    }
    const bool isUnsigned = reply.result == LegResult::Answered
        && http::to_status_class(reply.response->result()) == http::status_class::successful;
    m_reason = reply.reason;
    if (reply.result == LegResult::Answered)
        m_reason = isUnsigned ? "unsigned_success" : "backend_error";
    if (retry(reply))
        return;
    if (reply.result == LegResult::Answered && !isUnsigned)
        m_failure = std::move(reply.response);
    if (!m_legs.empty() || m_retryTimer.number != 0)
        return;
    ServiceReply failure;
    failure.response = std::move(m_failure);
    failure.mayHaveRun = m_mayHaveRun;
    failure.reason = m_reason;
    finish(std::move(failure));
}

bool ServiceCall::retry(const LegReply &reply)
{
    const bool hasRun = reply.result == LegResult::Answered || reply.result == LegResult::Unknown;
    const bool isClientError = reply.result == LegResult::Answered
        && http::to_status_class(reply.response->result()) == http::status_class::client_error;
    const bool isTooLate = reply.reason == waitExpired || reply.reason == queueTooLong;
    if ((hasRun && !m_plan.route->isIdempotent) || isClientError || isTooLate || !maySend())
        return false;
    const TimePoint now = Clock::now();
    if (reply.result == LegResult::NotSent) {
        // No arrival anywhere: free of the budget, and the same server may be tried again.
        if (!m_pool.hasServer(now, m_tried))
            return false;
        countRepeat("not_sent");
        send();
        return true;
    }
    if (reply.isOverLimit)
        return retryOverLimit(reply, now);
    m_tried.push_back(reply.backendId);
    if (!m_legs.empty())
        return false;
    if (!m_pool.hasServer(now, m_tried)) {
        if (reply.result == LegResult::NotRun && reply.reason != "misdirected")
            retryLater();
        return false;
    }
    if (!takeRepeat(RetryKind::AfterFailure, now))
        return false;
    countRepeat(hasRun ? "failed" : "not_run");
    send();
    return true;
}

bool ServiceCall::retryOverLimit(const LegReply &reply, TimePoint now)
{
    if (std::find(m_tried.begin(), m_tried.end(), reply.backendId) == m_tried.end())
        m_tried.push_back(reply.backendId);
    if (!m_legs.empty() || !takeRepeat(RetryKind::AfterFailure, now))
        return false;
    countRepeat("over_limit");
    // It may have run after all: no more servers are asked than the route allows to run it.
    const bool mayAskAnother = static_cast<int>(m_tried.size()) < m_plan.route->maxAttempts
        && m_pool.hasServer(now, m_tried);
    send(mayAskAnother ? std::string() : reply.backendId);
    return true;
}

void ServiceCall::retryLater()
{
    m_retryTimer = m_context.timers.after(refusalPause, [self = shared_from_this()] {
        self->m_retryTimer = {};
        if (!self->m_handler)
            return;
        self->m_tried.clear();
        const TimePoint now = Clock::now();
        const bool maySend
            = self->m_pool.hasServer(now) && self->takeRepeat(RetryKind::AfterFailure, now);
        if (maySend) {
            self->countRepeat("not_run");
            self->send();
            return;
        }
        ServiceReply failure;
        failure.response = std::move(self->m_failure);
        failure.mayHaveRun = self->m_mayHaveRun;
        failure.reason = self->m_reason;
        self->finish(std::move(failure));
    });
}

bool ServiceCall::takeRepeat(RetryKind kind, TimePoint now)
{
    if (m_pool.budget().tryAcquire(kind, now, m_context.fleetSize))
        return true;
    m_context.metrics
        .counter("gwt_gateway_repeats_denied_total", "Repeats for which the budget had no room",
                 {{"kind", kind == RetryKind::Hedge ? "hedge" : "repair"}})
        .Increment();
    return false;
}

void ServiceCall::countRepeat(const std::string &kind)
{
    m_context.metrics
        .counter("gwt_gateway_repeats_total", "Sends beyond the first of each request",
                 {{"kind", kind}})
        .Increment();
}

void ServiceCall::finish(ServiceReply reply)
{
    // Sends that lost the race run on, but can still be cancelled if the caller leaves.
    const Handler handler = std::exchange(m_handler, nullptr);
    abandon();
    if (handler)
        handler(std::move(reply));
}

void ServiceCall::detach()
{
    m_handler = nullptr;
    m_context.timers.cancel(m_retryTimer);
    for (const std::shared_ptr<Leg> &leg : std::exchange(m_legs, {}))
        m_pool.detach(leg);
}

void ServiceCall::abandon()
{
    m_handler = nullptr;
    m_context.timers.cancel(m_retryTimer);
    const std::vector<std::shared_ptr<Leg>> legs = m_legs;
    for (const std::shared_ptr<Leg> &leg : legs) {
        if (!leg->server) {
            m_pool.detach(leg);
            std::erase(m_legs, leg);
        }
    }
}

void ServiceCall::cancel()
{
    abandon();
    for (const std::shared_ptr<Leg> &leg : std::exchange(m_legs, {}))
        m_pool.cancel(leg);
}

} // namespace gwt
