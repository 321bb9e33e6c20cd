#include "gateway/forwarding/ShardQueryRun.h"

#include "common/Log.h"
#include "gateway/forwarding/Refusal.h"
#include "gateway/forwarding/RetryAfter.h"
#include "gateway/forwarding/TeamLogFields.h"

#include <algorithm>

namespace gwt {

namespace {

/// Time for attempts in flight to finish after the caller has disconnected, as most do. Cancelling
/// one closes its connection, which must then be opened again, so only longer ones are cancelled.
constexpr Milliseconds cancelDelay{300};
const std::string tooLateReason = "too_late";
constexpr std::size_t maxLoggedShards = 4; ///< listed in a log line

} // namespace

ShardQueryRun::ShardQueryRun(ForwardingContext &context, RequestPlan plan)
    : m_context(context)
    , m_plan(std::move(plan))
{ }

Duration ShardQueryRun::elapsed() const
{
    return Clock::now() - m_plan.exchange->arrivedAt();
}

QueryProgress ShardQueryRun::progress() const
{
    QueryProgress progress;
    progress.shards = m_plan.route->query.shards.size();
    progress.answered = m_parts.size();
    progress.pending = m_pendingShards;
    progress.minShare = m_plan.route->query.minShare;
    progress.target = m_plan.route->target;
    progress.elapsed = elapsed();
    progress.reserved = m_reserved;
    return progress;
}

std::vector<std::string> ShardQueryRun::reachableShards(TimePoint now) const
{
    std::vector<std::string> reachable;
    for (const std::string &shard : m_plan.route->query.shards) {
        if (m_context.backends.pool(shard).hasServer(now))
            reachable.push_back(shard);
    }
    return reachable;
}

void ShardQueryRun::start()
{
    const ShardQuery &query = m_plan.route->query;
    const TimePoint now = Clock::now();
    const std::size_t reachable = reachableShards(now).size();
    if (reachable < PartialAnswerPolicy::minShards(query.shards.size(), query.minShare)) {
        refuse("shards_unreachable", reachable);
        return;
    }
    if (m_context.deadlines.isTooLate(*m_plan.route, m_plan.deadline - now, now)) {
        refuse(tooLateReason, reachable);
        return;
    }
    const auto self = shared_from_this();
    m_plan.exchange->onDisconnect([self] { self->onCallerDisconnected(); });
    m_plan.exchange->onEnd([self](const std::string &reason) { self->endEarly(reason); });
    m_deadlineTimer
        = m_context.timers.at(m_plan.deadline, [self] { self->giveUp(504, "deadline"); });
    if (isOverdue()) {
        waitInOverdueQueue();
        return;
    }
    const Duration typicalLatency
        = m_context.hedges.typicalLatency(m_plan.route->name, m_plan.route->target);
    if (!m_context.admission.admit(*m_plan.route, m_plan.rank, m_plan.excess, typicalLatency,
                                   now)) {
        refuse("overloaded", reachable);
        return;
    }
    m_isPressureReported = false;
    send();
}

bool ShardQueryRun::isOverdue() const
{
    // After refusals most returning callers follow a Retry-After, and a prompt answer is worth much
    // to them.
    return m_plan.waitedBefore >= m_plan.route->target
        && !m_context.admission.hasRecentRefusals(*m_plan.route, Clock::now());
}

void ShardQueryRun::waitInOverdueQueue()
{
    const auto self = shared_from_this();
    const TimePoint latest = m_plan.deadline - m_plan.route->target;
    m_overdueTimer = m_context.timers.at(latest, [self] {
        self->leaveOverdueQueue();
        self->send();
    });
    OverdueQueue &overdueQueue = m_context.admission.overdueQueue(*m_plan.route);
    m_isInOverdueQueue = true;
    m_overdueId = overdueQueue.newId();
    overdueQueue.add(m_overdueId, [self] { self->send(); });
}

void ShardQueryRun::leaveOverdueQueue()
{
    m_context.timers.cancel(m_overdueTimer);
    if (std::exchange(m_isInOverdueQueue, false))
        m_context.admission.overdueQueue(*m_plan.route).remove(m_overdueId);
}

void ShardQueryRun::send()
{
    const ShardQuery &query = m_plan.route->query;
    const TimePoint now = Clock::now();
    m_startedAt = now;
    m_context.timers.cancel(m_overdueTimer);
    const std::vector<std::string> reachable = reachableShards(now);
    const std::size_t missing = query.shards.size() - reachable.size();
    if (missing > 0)
        m_missingByReason["no_server"] = static_cast<int>(missing);
    m_reserved = m_context.delivery.estimate() + m_plan.exchange->networkTime();
    m_cutoff = m_plan.exchange->arrivedAt()
        + PartialAnswerPolicy::cutoff(m_plan.route->target, m_reserved);
    const auto self = shared_from_this();
    m_cutoffTimer = m_context.timers.at(m_cutoff, [self] { self->decide(); });
    scheduleHedge(m_context.hedges.delay(m_plan.route->name, m_plan.route->target));
    m_isSending = true;
    m_pendingShards = reachable.size();
    for (const std::string &shard : reachable) {
        auto call
            = std::make_shared<ServiceCall>(m_context, m_plan, shard, [self](ServiceReply reply) {
                  self->onShardReply(std::move(reply));
              });
        m_calls.push_back(call);
        call->start();
    }
    m_isSending = false;
    decide();
}

void ShardQueryRun::onShardReply(ServiceReply reply)
{
    --m_pendingShards;
    m_mayHaveRun = m_mayHaveRun || reply.mayHaveRun;
    if (reply.isSuccess) {
        if (m_parts.empty())
            m_context.deadlines.recordAnswer(m_plan.route->name, Clock::now());
        const auto signature = (*reply.response)[m_context.headerNames.signature];
        m_parts.push_back({std::string(signature), std::move(reply.response->body())});
        if (2 * m_parts.size() >= m_plan.route->query.shards.size())
            reportPressure();
    } else {
        ++m_missingByReason[reply.reason];
    }
    if (!m_isSending)
        decide();
}

void ShardQueryRun::decide()
{
    if (m_isEnded)
        return;
    switch (PartialAnswerPolicy::decide(progress())) {
    case QueryDecision::Wait:
        return;
    case QueryDecision::Answer:
        answer();
        return;
    case QueryDecision::GiveUp:
        giveUp(502, "too_few_shards");
        return;
    }
}

void ShardQueryRun::scheduleHedge(Duration delay)
{
    m_hedgeTimer = m_context.timers.after(delay, [self = shared_from_this()] { self->hedge(); });
}

void ShardQueryRun::hedge()
{
    if (m_isEnded)
        return;
    const Duration delay = m_context.hedges.delay(m_plan.route->name, m_plan.route->target);
    const std::vector<std::shared_ptr<ServiceCall>> calls = m_calls;
    for (const auto &call : calls) {
        if (call->isPending())
            call->hedge(delay - Milliseconds(1));
    }
    scheduleHedge(std::max<Duration>(delay / 2, Milliseconds(5)));
}

void ShardQueryRun::answer()
{
    CallerResponse response;
    std::string signatures;
    std::vector<std::string_view> parts;
    for (const Part &part : m_parts) {
        signatures.append(signatures.empty() ? "" : ", ").append(part.signature);
        parts.push_back(part.records);
    }
    const ShardQuery &query = m_plan.route->query;
    const std::size_t missing = query.shards.size() - m_parts.size();
    response.fields.emplace_back(m_context.headerNames.partSignatures, std::move(signatures));
    response.fields.emplace_back(m_context.headerNames.missingParts, std::to_string(missing));
    response.body = m_context.merge.merge(parts, query.topRecords);
    m_context.admission.recordServed(*m_plan.route, m_plan.rank, Clock::now());
    const bool wasAtCutoff = m_pendingShards > 0;
    const TimePoint now = Clock::now();
    const RequestEnd end = missing > 0 ? RequestEnd::Partial : RequestEnd::Served;
    if (m_context.recorder.record(end, m_plan.rank, m_plan.team, elapsed(), now))
        logInfo("query_answered",
                logFields(wasAtCutoff ? "target_near" : "all_in", response.status));
    const auto exchange = m_plan.exchange;
    finish();
    exchange->respond(std::move(response));
    const Duration lateness = Clock::now() - m_cutoff;
    if (wasAtCutoff && lateness < m_plan.route->target / 2)
        m_context.delivery.record(lateness);
}

void ShardQueryRun::reportPressure()
{
    if (std::exchange(m_isPressureReported, true))
        return;
    const TimePoint now = Clock::now();
    const bool hasHalfAnswered = 2 * m_parts.size() >= m_plan.route->query.shards.size();
    if (hasHalfAnswered)
        m_context.admission.recordHalfAnswered(*m_plan.route, m_plan.rank, m_startedAt, now);
    else
        m_context.admission.recordStalled(*m_plan.route, m_plan.rank, m_startedAt, now);
}

void ShardQueryRun::refuse(const std::string &reason, std::size_t reachable)
{
    const TimePoint now = Clock::now();
    m_context.recorder.countReason(RequestEnd::Refused, reason);
    // A caller that comes too late says nothing about the load.
    if (reason != tooLateReason)
        m_context.admission.recordRefusal(*m_plan.route, m_plan.rank, now);
    if (m_context.recorder.record(RequestEnd::Refused, m_plan.rank, m_plan.team, elapsed(), now)) {
        std::vector<LogField> fields{{"id", m_plan.request->id()},
                                     {"route", m_plan.route->name},
                                     {"reason", reason},
                                     {"reachable", reachable},
                                     {"shards", m_plan.route->query.shards.size()},
                                     {"min_share", m_plan.route->query.minShare},
                                     {"version", m_plan.routes->config().version}};
        addTeamFields(fields, m_plan);
        logInfo("query_refused", fields);
    }
    m_isEnded = true;
    m_context.timers.cancel(m_deadlineTimer);
    m_plan.exchange->respond(makeRefusal(503, reason, retryAfter(now)));
}

Milliseconds ShardQueryRun::retryAfter(TimePoint now) const
{
    const ShardQuery &query = m_plan.route->query;
    return adviseRetryAfter(m_context, m_plan, query.shards,
                            PartialAnswerPolicy::minShards(query.shards.size(), query.minShare),
                            now);
}

bool ShardQueryRun::mayHaveRun() const
{
    return m_mayHaveRun || std::any_of(m_calls.begin(), m_calls.end(), [](const auto &call) {
               return call->mayHaveRun();
           });
}

void ShardQueryRun::giveUp(unsigned statusIfRun, const std::string &reason)
{
    if (m_isEnded)
        return;
    const unsigned status = mayHaveRun() ? statusIfRun : 503;
    const TimePoint now = Clock::now();
    const RequestEnd end = status == 503 ? RequestEnd::Refused : RequestEnd::Failed;
    m_context.recorder.countReason(end, reason);
    if (m_context.recorder.record(end, m_plan.rank, m_plan.team, elapsed(), now))
        logInfo("query_failed", logFields(reason, status));
    const auto exchange = m_plan.exchange;
    finish();
    std::optional<Milliseconds> backoff;
    if (status == 503) {
        m_context.admission.recordRefusal(*m_plan.route, m_plan.rank, now);
        backoff = retryAfter(now);
    }
    exchange->respond(makeRefusal(status, reason, backoff));
}

void ShardQueryRun::endEarly(const std::string &reason)
{
    if (m_isEnded)
        return;
    const ShardQuery &query = m_plan.route->query;
    if (m_parts.size() >= PartialAnswerPolicy::minShards(query.shards.size(), query.minShare))
        answer();
    else
        giveUp(504, reason);
}

void ShardQueryRun::onCallerDisconnected()
{
    if (m_isEnded)
        return;
    const TimePoint now = Clock::now();
    if (m_context.recorder.record(RequestEnd::Abandoned, m_plan.rank, m_plan.team, elapsed(), now))
        logInfo("caller_gone", logFields("caller_gone", 0));
    if (!std::exchange(m_isPressureReported, true))
        m_context.admission.recordAbandoned(*m_plan.route, m_plan.rank, m_startedAt, now);
    m_isEnded = true;
    leaveOverdueQueue();
    m_context.timers.cancel(m_hedgeTimer);
    m_context.timers.cancel(m_cutoffTimer);
    m_context.timers.cancel(m_deadlineTimer);
    for (const auto &call : m_calls)
        call->abandon();
    m_context.timers.after(cancelDelay, [self = shared_from_this()] {
        for (const auto &call : self->m_calls)
            call->cancel();
        self->m_calls.clear();
    });
}

std::vector<LogField> ShardQueryRun::logFields(const std::string &reason, unsigned status) const
{
    std::string missing;
    for (const auto &[missingReason, count] : m_missingByReason) {
        missing.append(missing.empty() ? "" : ",").append(missingReason);
        missing.append(":").append(std::to_string(count));
    }
    std::string pendingList;
    int attemptCount = 0;
    std::size_t loggedShards = 0;
    for (const auto &call : m_calls) {
        attemptCount += call->attemptCount();
        if (call->isPending() && loggedShards++ < maxLoggedShards)
            pendingList.append(pendingList.empty() ? "" : ",")
                .append(call->service())
                .append("@" + call->contactedServers());
    }
    std::vector<LogField> fields{
        {"id", m_plan.request->id()},
        {"route", m_plan.route->name},
        {"reason", reason},
        {"status", status},
        {"shards", m_plan.route->query.shards.size()},
        {"answered", m_parts.size()},
        {"open", m_pendingShards},
        {"waits_for", pendingList},
        {"missing", missing},
        {"sends", attemptCount},
        {"reserved_ms", std::chrono::duration_cast<Milliseconds>(m_reserved).count()},
        {"version", m_plan.routes->config().version},
        {"waited_before_ms", std::chrono::duration_cast<Milliseconds>(m_plan.waitedBefore).count()},
        {"elapsed_ms", std::chrono::duration_cast<Milliseconds>(elapsed()).count()}};
    addTeamFields(fields, m_plan);
    return fields;
}

void ShardQueryRun::finish()
{
    reportPressure();
    for (const auto &[reason, count] : m_missingByReason)
        m_context.recorder.countMissing(reason, count);
    if (m_pendingShards > 0)
        m_context.recorder.countMissing("late", static_cast<int>(m_pendingShards));
    m_isEnded = true;
    m_context.timers.cancel(m_hedgeTimer);
    m_context.timers.cancel(m_cutoffTimer);
    m_context.timers.cancel(m_deadlineTimer);
    for (const auto &call : std::exchange(m_calls, {}))
        call->detach();
    leaveOverdueQueue();
}

} // namespace gwt
