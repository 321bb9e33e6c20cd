#include "gateway/forwarding/ServiceCall.h"

#include "http/StatusClass.h"

#include <algorithm>

namespace gwt {

namespace {

/// Attempts allowed beyond the route's maxAttempts, for those that ended without having run.
constexpr int extraAttempts = 2;
/// Delay before the retry if all servers refused: a saturated backend server with few slots has
/// a free one again after about one request's service time.
constexpr Milliseconds refusalRetryDelay{15};

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
    const int countedAttempts = m_countedAttempts + static_cast<int>(m_attempts.size());
    return m_handler && countedAttempts < m_plan.route->maxAttempts
        && m_attemptCount < m_plan.route->maxAttempts + extraAttempts;
}

void ServiceCall::send(const std::string &requiredServer)
{
    auto attempt = std::make_shared<BackendAttempt>();
    attempt->request = m_plan.request;
    attempt->rank = m_plan.rank;
    attempt->isIdempotent = m_plan.route->isIdempotent;
    attempt->deadline = m_plan.deadline;
    attempt->typicalLatency
        = m_context.hedges.typicalLatency(m_plan.route->name, m_plan.route->target);
    if (m_context.costs && m_plan.costKind) {
        attempt->costKind = m_plan.costKind;
        attempt->cost
            = m_context.costs->estimate(*m_plan.costKind, attempt->typicalLatency, Clock::now());
    }
    if (requiredServer.empty())
        attempt->excluded = m_triedServers;
    attempt->requiredServer = requiredServer;
    attempt->handler
        = [self = shared_from_this(), weak = std::weak_ptr(attempt)](AttemptReply reply) {
              if (const auto ended = weak.lock())
                  self->onReply(ended, std::move(reply));
          };
    ++m_attemptCount;
    m_attempts.push_back(attempt);
    m_pool.submit(attempt);
}

void ServiceCall::hedge(Duration minAge)
{
    if (!m_plan.route->isIdempotent || m_attempts.size() != 1 || !maySend())
        return;
    const std::shared_ptr<BackendAttempt> attempt = m_attempts.front();
    const TimePoint now = Clock::now();
    if (!attempt->server || now - attempt->sentAt < minAge)
        return;
    const std::string first = attempt->server->entry().id;
    if (std::find(m_triedServers.begin(), m_triedServers.end(), first) == m_triedServers.end())
        m_triedServers.push_back(first);
    const TimePoint target = m_plan.exchange->arrivedAt() + m_plan.route->target;
    const HedgeConditions conditions{
        m_pool.expectedLatency(attempt->typicalLatency, m_triedServers, now), target - now,
        m_plan.deadline - now, now - attempt->sentAt};
    if (!HedgeTimer::isHedgeUseful(conditions) || !spendRetryBudget(RetryKind::Hedge, now))
        return;
    countRetry("hedge");
    send();
}

bool ServiceCall::isSuccess(const WireResponse &response) const
{
    return statusClassOf(response.result_int()) == StatusClass::Successful
        && response.count(m_context.headerNames.signature) > 0;
}

bool ServiceCall::mayHaveRun() const
{
    return m_mayHaveRun
        || std::any_of(m_attempts.begin(), m_attempts.end(),
                       [](const auto &attempt) { return attempt->server != nullptr; });
}

std::string ServiceCall::contactedServers() const
{
    std::string text;
    for (const std::string &server : m_contactedServers)
        text.append(text.empty() ? "" : ",").append(server);
    for (const std::shared_ptr<BackendAttempt> &attempt : m_attempts) {
        if (attempt->server)
            text.append(text.empty() ? "" : ",").append(attempt->server->entry().id);
    }
    return text;
}

void ServiceCall::onReply(const std::shared_ptr<BackendAttempt> &attempt, AttemptReply reply)
{
    std::erase(m_attempts, attempt);
    if (!reply.backendId.empty())
        m_contactedServers.push_back(reply.backendId);
    if (!m_handler)
        return;
    m_mayHaveRun = m_mayHaveRun || reply.mayHaveRun();
    if (reply.mayHaveRun() || reply.isUnproven)
        ++m_countedAttempts;
    if (reply.result == AttemptResult::Answered && isSuccess(*reply.response)) {
        m_context.hedges.record(m_plan.route->name, reply.elapsed);
        ServiceReply success;
        success.response = std::move(reply.response);
        success.isSuccess = true;
        success.mayHaveRun = true;
        finish(std::move(success));
        return;
    }
    const bool isUnsigned = reply.result == AttemptResult::Answered
        && statusClassOf(reply.response->result_int()) == StatusClass::Successful;
    m_reason = reply.reason;
    if (reply.result == AttemptResult::Answered)
        m_reason = isUnsigned ? "unsigned_success" : "backend_error";
    if (retry(reply))
        return;
    if (reply.result == AttemptResult::Answered && !isUnsigned)
        m_lastError = std::move(reply.response);
    if (!m_attempts.empty() || m_retryTimer.number != 0)
        return;
    ServiceReply failure;
    failure.response = std::move(m_lastError);
    failure.mayHaveRun = m_mayHaveRun;
    failure.reason = m_reason;
    finish(std::move(failure));
}

bool ServiceCall::retry(const AttemptReply &reply)
{
    const bool hasRun = reply.mayHaveRun();
    const bool isClientError = reply.result == AttemptResult::Answered
        && statusClassOf(reply.response->result_int()) == StatusClass::ClientError;
    const bool isTooLate = reply.reason == waitExpiredReason || reply.reason == queueTooLongReason;
    if ((hasRun && !m_plan.route->isIdempotent) || isClientError || isTooLate || !maySend())
        return false;
    const TimePoint now = Clock::now();
    if (reply.result == AttemptResult::NotSent) {
        // Nothing was sent: the retry costs no budget and may go to the same server.
        if (!m_pool.hasServer(now, m_triedServers))
            return false;
        countRetry("not_sent");
        send();
        return true;
    }
    if (reply.isAtConnectionLimit)
        return retryAtConnectionLimit(reply, now);
    m_triedServers.push_back(reply.backendId);
    if (!m_attempts.empty())
        return false;
    if (!m_pool.hasServer(now, m_triedServers)) {
        const bool isBusy
            = reply.result == AttemptResult::NotRun && reply.reason != misdirectedReason;
        if (isBusy && m_pool.hasServer(now + refusalRetryDelay))
            retryLater();
        return false;
    }
    if (!spendRetryBudget(RetryKind::AfterFailure, now))
        return false;
    countRetry(hasRun ? "failed" : "not_run");
    send();
    return true;
}

bool ServiceCall::retryAtConnectionLimit(const AttemptReply &reply, TimePoint now)
{
    if (std::find(m_triedServers.begin(), m_triedServers.end(), reply.backendId)
        == m_triedServers.end())
        m_triedServers.push_back(reply.backendId);
    if (!m_attempts.empty() || !spendRetryBudget(RetryKind::AfterFailure, now))
        return false;
    countRetry("over_limit");
    // Unlike one that has failed, a server at its limit may be tried again.
    send(m_pool.hasServer(now, m_triedServers) ? std::string() : reply.backendId);
    return true;
}

void ServiceCall::retryLater()
{
    m_retryTimer = m_context.timers.after(refusalRetryDelay, [self = shared_from_this()] {
        self->m_retryTimer = {};
        if (!self->m_handler)
            return;
        self->m_triedServers.clear();
        const TimePoint now = Clock::now();
        const bool canSend = self->maySend() && self->m_pool.hasServer(now)
            && self->spendRetryBudget(RetryKind::AfterFailure, now);
        if (canSend) {
            self->countRetry("not_run");
            self->send();
            return;
        }
        ServiceReply failure;
        failure.response = std::move(self->m_lastError);
        failure.mayHaveRun = self->m_mayHaveRun;
        failure.reason = self->m_reason;
        self->finish(std::move(failure));
    });
}

bool ServiceCall::spendRetryBudget(RetryKind kind, TimePoint now)
{
    if (m_pool.budget().tryAcquire(kind, now, m_context.fleetSize))
        return true;
    m_context.metrics
        .counter("gwt_gateway_repeats_denied_total", "Repeats for which the budget had no room",
                 {{"kind", kind == RetryKind::Hedge ? "hedge" : "repair"}})
        .Increment();
    return false;
}

void ServiceCall::countRetry(const std::string &kind)
{
    m_context.metrics
        .counter("gwt_gateway_repeats_total", "Sends beyond the first of each request",
                 {{"kind", kind}})
        .Increment();
}

void ServiceCall::finish(ServiceReply reply)
{
    // Attempts that lost the race keep running, but are cancelled if the caller disconnects.
    const Handler handler = std::exchange(m_handler, nullptr);
    abandon();
    if (handler)
        handler(std::move(reply));
}

void ServiceCall::detach()
{
    m_handler = nullptr;
    m_context.timers.cancel(m_retryTimer);
    for (const std::shared_ptr<BackendAttempt> &attempt : std::exchange(m_attempts, {}))
        m_pool.detach(attempt);
}

void ServiceCall::abandon()
{
    m_handler = nullptr;
    m_context.timers.cancel(m_retryTimer);
    const std::vector<std::shared_ptr<BackendAttempt>> attempts = m_attempts;
    for (const std::shared_ptr<BackendAttempt> &attempt : attempts) {
        if (!attempt->server) {
            m_pool.detach(attempt);
            std::erase(m_attempts, attempt);
        }
    }
}

void ServiceCall::cancel()
{
    abandon();
    for (const std::shared_ptr<BackendAttempt> &attempt : std::exchange(m_attempts, {}))
        m_pool.cancel(attempt);
}

} // namespace gwt
