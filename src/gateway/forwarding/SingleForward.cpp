#include "gateway/forwarding/SingleForward.h"

#include "common/Log.h"
#include "gateway/forwarding/Refusal.h"
#include "gateway/forwarding/RetryAfter.h"
#include "gateway/forwarding/TeamLogFields.h"

#include <algorithm>
#include <array>

namespace gwt {

namespace http = boost::beast::http;

namespace {

/// Time for requests in flight to finish after the caller has disconnected; then they are
/// cancelled.
constexpr Milliseconds cancelDelay{300};

/// \brief True for a status from which a caller concludes that the request has not run and never
/// will.
bool promisesNotRun(unsigned status)
{
    constexpr std::array<unsigned, 4> promises{408, 421, 429, 503};
    return std::find(promises.begin(), promises.end(), status) != promises.end();
}

} // namespace

SingleForward::SingleForward(ForwardingContext &context, RequestPlan plan, std::string service)
    : m_context(context)
    , m_plan(std::move(plan))
    , m_service(std::move(service))
{ }

void SingleForward::start()
{
    if (!m_context.backends.pool(m_service).hasServer(Clock::now())) {
        fail(503, "no_server");
        return;
    }
    const auto self = shared_from_this();
    m_plan.exchange->onDisconnect([self] { self->onCallerDisconnected(); });
    m_plan.exchange->onEnd([self](const std::string &reason) { self->giveUp(reason); });
    m_deadlineTimer = m_context.timers.at(m_plan.deadline, [self] { self->giveUp("deadline"); });
    if (m_plan.route->isIdempotent)
        scheduleHedge();
    m_call
        = std::make_shared<ServiceCall>(m_context, m_plan, m_service, [self](ServiceReply reply) {
              self->onReply(std::move(reply));
          });
    const auto call = m_call;
    call->start();
}

void SingleForward::scheduleHedge()
{
    const Duration delay = m_context.hedges.delay(m_plan.route->name, m_plan.route->target);
    m_hedgeTimer = m_context.timers.after(delay, [self = shared_from_this(), delay] {
        if (self->m_isEnded)
            return;
        const auto call = self->m_call;
        call->hedge(delay - Milliseconds(1));
        if (!self->m_isEnded)
            self->scheduleHedge();
    });
}

void SingleForward::onReply(ServiceReply reply)
{
    if (m_isEnded)
        return;
    if (!reply.response) {
        fail(reply.mayHaveRun ? 502 : 503, reply.reason);
        return;
    }
    // The backend server has not stated that it did not run the request.
    if (promisesNotRun(reply.response->result_int())) {
        fail(502, "unproven_refusal");
        return;
    }
    answer(*reply.response);
}

void SingleForward::answer(const WireResponse &response)
{
    CallerResponse answer;
    answer.status = response.result_int();
    const auto connection = response[http::field::connection];
    for (const auto &field : response) {
        const std::string_view name(field.name_string().data(), field.name_string().size());
        if (!isHopByHopField(name, {connection.data(), connection.size()}))
            answer.fields.emplace_back(std::string(name), std::string(field.value()));
    }
    answer.body = response.body();
    m_isEnded = true;
    stopTimers();
    const TimePoint now = Clock::now();
    m_context.admission.recordServed(*m_plan.route, m_plan.rank, now);
    const Duration elapsed = now - m_plan.exchange->arrivedAt();
    if (m_context.recorder.record(RequestEnd::Served, m_plan.rank, m_plan.team, elapsed, now)) {
        std::vector<LogField> fields{
            {"id", m_plan.request->id()},
            {"route", m_plan.route->name},
            {"service", m_service},
            {"status", answer.status},
            {"sends", m_call->attemptCount()},
            {"backends", m_call->contactedServers()},
            {"version", m_plan.routes->config().version},
            {"elapsed_ms", std::chrono::duration_cast<Milliseconds>(elapsed).count()}};
        addTeamFields(fields, m_plan);
        logInfo("request_served", fields);
    }
    m_plan.exchange->respond(std::move(answer));
}

void SingleForward::giveUp(const std::string &reason)
{
    const bool mayHaveRun = m_call && m_call->mayHaveRun();
    fail(mayHaveRun ? 504 : 503, reason);
}

void SingleForward::fail(unsigned status, const std::string &reason)
{
    if (m_isEnded)
        return;
    m_isEnded = true;
    stopTimers();
    const TimePoint now = Clock::now();
    const Duration elapsed = now - m_plan.exchange->arrivedAt();
    const RequestEnd end = status == 503 ? RequestEnd::Refused : RequestEnd::Failed;
    m_context.recorder.countReason(end, reason);
    if (m_context.recorder.record(end, m_plan.rank, m_plan.team, elapsed, now)) {
        std::vector<LogField> fields{
            {"id", m_plan.request->id()},
            {"route", m_plan.route->name},
            {"service", m_service},
            {"reason", reason},
            {"status", status},
            {"sends", m_call ? m_call->attemptCount() : 0},
            {"backends", m_call ? m_call->contactedServers() : ""},
            {"is_idempotent", m_plan.route->isIdempotent ? "yes" : "no"},
            {"version", m_plan.routes->config().version},
            {"elapsed_ms", std::chrono::duration_cast<Milliseconds>(elapsed).count()}};
        addTeamFields(fields, m_plan);
        logInfo("request_failed", fields);
    }
    if (m_call)
        m_call->detach();
    std::optional<Milliseconds> retryAfter;
    if (status == 503) {
        m_context.admission.recordRefusal(*m_plan.route, m_plan.rank, now);
        retryAfter = adviseRetryAfter(m_context, m_plan, {m_service}, 1, now);
    }
    m_plan.exchange->respond(makeRefusal(status, reason, retryAfter));
}

void SingleForward::onCallerDisconnected()
{
    if (m_isEnded)
        return;
    const TimePoint now = Clock::now();
    const Duration elapsed = now - m_plan.exchange->arrivedAt();
    if (m_context.recorder.record(RequestEnd::Abandoned, m_plan.rank, m_plan.team, elapsed, now)) {
        std::vector<LogField> fields{
            {"id", m_plan.request->id()},
            {"route", m_plan.route->name},
            {"backends", m_call->contactedServers()},
            {"elapsed_ms", std::chrono::duration_cast<Milliseconds>(elapsed).count()}};
        addTeamFields(fields, m_plan);
        logInfo("caller_gone", fields);
    }
    m_isEnded = true;
    stopTimers();
    m_call->abandon();
    m_context.timers.after(cancelDelay, [call = m_call] { call->cancel(); });
}

void SingleForward::stopTimers()
{
    m_context.timers.cancel(m_hedgeTimer);
    m_context.timers.cancel(m_deadlineTimer);
}

} // namespace gwt
