#include "entry/queries/SearchService.h"

#include "common/Log.h"
#include "common/Random.h"
#include "entry/ApiError.h"
#include "entry/queries/SearchResponse.h"
#include "membership/OwnerCall.h"
#include "membership/Ownership.h"
#include "peer/PeerCodec.h"

#include <algorithm>

namespace gwt {

namespace {

constexpr Milliseconds responseMargin{6}; ///< reserved to merge and write the response
constexpr Milliseconds defaultRetryAfter{1000};
constexpr std::size_t recentRequestsCapacity = 2048; ///< retained of each kind for operators
/// Minimum share of the time budget that must be left to run a query on another index version.
constexpr double minReplanBudgetShare = 0.4;

HttpResponse toResponse(const Error &error, const std::string &requestId,
                        Duration retryAfter = defaultRetryAfter)
{
    if (error.code == ErrorCode::InvalidArgument)
        return apiError(400, error.reason, error.detail, RunStatus::NotRun, requestId);
    if (error.code == ErrorCode::NotFound)
        return apiError(404, error.reason, error.detail, RunStatus::NotRun, requestId);
    const int status = error.code == ErrorCode::Overloaded ? 429 : 503;
    return apiError(status, error.reason, "the search was not run", RunStatus::NotRun, requestId,
                    std::chrono::ceil<Milliseconds>(retryAfter));
}

bool hasGoneVersion(const SearchResult &result)
{
    return std::any_of(result.missing.begin(), result.missing.end(),
                       [](const auto &missing) { return missing.second == "version_gone"; });
}

std::vector<ServiceLoadReport> toLoadReports(const wire::SliceSearchReply &reply)
{
    std::vector<ServiceLoadReport> reports;
    for (const wire::ServiceState &state : reply.services()) {
        ServiceLoadReport report;
        report.service = state.service();
        report.queueDelay = Microseconds(state.queue_delay_us());
        report.serviceTime = Microseconds(state.service_time_us());
        report.slots = static_cast<int>(state.slots());
        reports.push_back(std::move(report));
    }
    return reports;
}

bool isRefused(const wire::SliceSearchReply &reply)
{
    return !reply.refused().empty();
}

std::string outcomeOf(const Outcome<wire::SliceSearchReply> &reply)
{
    if (!isOk(reply))
        return errorOf(reply).reason;
    return isRefused(valueOf(reply)) ? valueOf(reply).refused() : "answered";
}

} // namespace

SearchService::SearchService(Executor executor, const ConfigHolder &config,
                             const MembershipView &membership, PeerClient &peers,
                             AdmissionGate &gate, Metrics &metrics)
    : m_executor(std::move(executor))
    , m_config(config)
    , m_membership(membership)
    , m_peers(peers)
    , m_gate(gate)
    , m_metrics(metrics)
    , m_recentRequests(recentRequestsCapacity)
{ }

Outcome<SearchService::Query> SearchService::parse(const HttpRequest &request,
                                                   const std::string &requestId,
                                                   TimePoint start) const
{
    const Outcome<SearchRequest> parsed = parseSearchRequest(request.body);
    if (!isOk(parsed))
        return errorOf(parsed);
    Query query;
    query.requestId = requestId;
    query.request = valueOf(parsed);
    query.config = m_config.current();
    query.cancel = request.cancel;
    const Rank *rank = query.config->rank(query.request.rank);
    if (!rank)
        return Error{ErrorCode::NotFound, "unknown_rank", query.request.rank};
    if (!query.config->hasIndex(query.request.index))
        return Error{ErrorCode::NotFound, "unknown_index", query.request.index};
    query.rank = *rank;
    const Milliseconds budget
        = std::min(rank->target, query.request.deadline.value_or(rank->target));
    query.deadline = start + budget - responseMargin;
    return query;
}

AdmissionQuery SearchService::toAdmissionQuery(const Query &query,
                                               const IndexVersion &version) const
{
    AdmissionQuery admission;
    admission.index = query.request.index;
    admission.rank = query.rank;
    for (const auto &[name, rank] : query.config->set().ranks)
        admission.higherRankCount += rank.worth > query.rank.worth ? 1 : 0;
    admission.deadline = query.deadline;
    admission.services = version.services;
    return admission;
}

RequestTrace SearchService::makeTrace(const Query &query, TimePoint start)
{
    RequestTrace trace;
    trace.requestId = query.requestId;
    trace.index = query.request.index;
    trace.rank = query.rank.name;
    trace.elapsed = Clock::now() - start;
    return trace;
}

HttpResponse SearchService::recordRefusal(const Error &error, RequestTrace trace,
                                          Duration retryAfter)
{
    trace.refusalReason = error.reason;
    HttpResponse response = toResponse(error, trace.requestId, retryAfter);
    m_recentRequests.add(std::move(trace));
    return response;
}

std::string SearchService::relayIdAt(const Endpoint &address) const
{
    const std::shared_ptr<const MemberList> members = m_membership.members();
    for (const Member &member : *members) {
        if (member.peerAddress == address)
            return member.id;
    }
    return toString(address);
}

Task<HttpResponse> SearchService::answer(HttpRequest request)
{
    const TimePoint start = Clock::now();
    const std::string requestId = makeUniqueId();
    const Outcome<Query> parsed = parse(request, requestId, start);
    if (!isOk(parsed)) {
        m_metrics
            .counter("gwt_entry_invalid_searches_total",
                     "Searches with an invalid body or an unknown index or rank",
                     {{"reason", errorOf(parsed).reason}})
            .Increment();
        co_return toResponse(errorOf(parsed), requestId);
    }
    const Query &query = valueOf(parsed);
    const auto version = selectVersion(m_config.versionsOf(query.request.index), *query.config,
                                       m_versionTable, {}, start);
    if (!version) {
        const Error noSnapshot(ErrorCode::Unavailable, "no_snapshot", "");
        m_gate.countRefusal(query.rank.name, noSnapshot.reason);
        co_return recordRefusal(noSnapshot, makeTrace(query, start), defaultRetryAfter);
    }
    AdmissionQuery admission = toAdmissionQuery(query, *version);
    const auto ticket = co_await m_gate.admit(std::move(admission), query.cancel);
    if (!isOk(ticket)) {
        const Duration retryAfter = m_gate.retryAfter(query.request.index, query.rank.name);
        co_return recordRefusal(errorOf(ticket), makeTrace(query, start), retryAfter);
    }
    const SearchResult result = co_await searchWithReplan(query, version, valueOf(ticket));
    const Duration elapsed = Clock::now() - start;
    const std::size_t shards = result.answered.size() + result.missing.size();
    countResult(query, result, shards, elapsed);
    RequestTrace answered = makeTrace(query, start);
    answered.result = result;
    m_recentRequests.add(std::move(answered));
    co_return HttpResponse::json(
        200, toJson(result, shards, requestId, query.request, query.rank, elapsed));
}

Task<SearchResult> SearchService::searchWithReplan(Query query,
                                                   std::shared_ptr<const IndexVersion> version,
                                                   TicketPtr ticket)
{
    const TimePoint start = Clock::now();
    SnapshotPlan plan = makePlan(*query.config, version, ticket->skipped());
    SearchResult first = co_await scatter(query, std::move(plan), std::move(ticket));
    const auto minBudget
        = std::chrono::duration_cast<Duration>((query.deadline - start) * minReplanBudgetShare);
    const TimePoint now = Clock::now();
    if (!hasGoneVersion(first) || query.cancel.isCancelled() || query.deadline - now < minBudget)
        co_return first;
    const std::set<std::uint64_t> tried = {version->version};
    const auto other = selectVersion(m_config.versionsOf(query.request.index), *query.config,
                                     m_versionTable, tried, now);
    if (!other)
        co_return first;
    m_metrics
        .counter("gwt_entry_replans_total", "Searches repeated on another index version",
                 {{"rank", query.rank.name}})
        .Increment();
    SnapshotPlan next = makePlan(*query.config, other, {});
    SearchResult second = co_await scatter(query, std::move(next),
                                           m_gate.admitReplan(other->services, query.rank.worth));
    co_return second.answered.size() >= first.answered.size() ? second : first;
}

Task<SearchResult> SearchService::scatter(Query query, SnapshotPlan plan, TicketPtr ticket)
{
    const auto members = m_membership.members();
    const Gather<SearchResult> gather(static_cast<int>(plan.servicesBySlice.size()));
    std::map<std::string, SliceCall> pendingCalls;
    const CancelToken sliceCancel;
    const auto registration = query.cancel.onCancel([sliceCancel, gather] {
        sliceCancel.cancel();
        gather.finish();
    });
    for (const auto &[slice, services] : plan.servicesBySlice) {
        const std::vector<Member> owners
            = sliceOwnersToCall(slice, query.config->zoneOfSlice(slice), *members);
        if (owners.empty()) {
            ticket->finish(services, {});
            gather.add([&unowned = services, &name = slice](SearchResult &result) {
                markMissing(unowned, "no_relay", result);
                result.calls[name] = SliceCall{"", 0, "no_relay"};
            });
            continue;
        }
        pendingCalls[slice] = SliceCall{owners.front().id, 1, "no_reply_in_time"};
        wire::SliceSearchRequest message;
        message.set_request_id(query.requestId);
        message.set_index(query.request.index);
        message.set_version(plan.version->version);
        message.set_rank(query.request.rank);
        message.set_query(query.request.query);
        message.set_limit(query.request.limit);
        message.set_leg_id(m_nextSliceRequestId++);
        message.mutable_services()->Add(services.begin(), services.end());
        spawn(asio::make_strand(m_executor),
              searchSlice(std::move(message), query.config, slice, query.deadline, sliceCancel,
                          gather, ticket));
    }
    SearchResult result = co_await gather.take(query.deadline);
    sliceCancel.cancel();
    result.version = plan.version->version;
    result.calls.merge(pendingCalls);
    markMissing(plan.unconfigured, "not_configured", result);
    markMissing(ticket->skipped(), "overloaded", result);
    markMissing(plan.version->services, query.cancel.isCancelled() ? "cancelled" : "late", result);
    retainTopHits(query.request.limit, result);
    co_return result;
}

Task<void> SearchService::searchSlice(wire::SliceSearchRequest request, ConfigPtr config,
                                      std::string slice, TimePoint deadline, CancelToken cancel,
                                      Gather<SearchResult> gather, TicketPtr ticket)
{
    const std::function<std::vector<Member>()> owners = [this, config, slice] {
        return sliceOwnersToCall(slice, config->zoneOfSlice(slice), *m_membership.members());
    };
    const auto answer = co_await callOwner<wire::SliceSearchReply>(m_peers, owners, "/relay/search",
                                                                   request, request.request_id(),
                                                                   deadline, cancel, isRefused);
    const Outcome<wire::SliceSearchReply> &reply = answer.reply;
    if (answer.calls > 1) {
        m_metrics
            .counter("gwt_entry_other_owner_calls_total",
                     "Calls to another owner after one that provably ran nothing",
                     {{"rank", request.rank()}})
            .Increment(answer.calls - 1);
    }
    recordReply(request, reply, *ticket);
    const SliceCall call{relayIdAt(answer.owner), answer.calls, outcomeOf(reply)};
    const bool isMerged = gather.add([&](SearchResult &result) {
        mergeReply(request, reply, result);
        result.calls[slice] = call;
    });
    if (isMerged || !isOk(reply))
        co_return;
    m_metrics
        .counter("gwt_entry_late_replies_total", "Replies of relays that came after the response",
                 {{"rank", request.rank()}})
        .Increment();
}

void SearchService::recordReply(const wire::SliceSearchRequest &request,
                                const Outcome<wire::SliceSearchReply> &reply,
                                AdmissionTicket &ticket)
{
    const std::vector<std::string> services(request.services().begin(), request.services().end());
    if (!isOk(reply)) {
        ticket.finish(services, {});
        return;
    }
    const wire::SliceSearchReply &message = valueOf(reply);
    for (const wire::ServiceState &state : message.services())
        m_versionTable.recordNewest(state.service(), state.newest_version());
    for (const wire::MissingShard &missing : message.missing()) {
        if (missing.reason() == "version_gone")
            m_versionTable.recordGone(missing.service(), request.version(), Clock::now());
    }
    ticket.finish(services, toLoadReports(message));
}

void SearchService::countResult(const Query &query, const SearchResult &result, std::size_t shards,
                                Duration elapsed)
{
    const std::string &rank = query.rank.name;
    const bool isComplete = result.answered.size() == shards;
    m_metrics
        .latency("gwt_entry_search_seconds", "Time from request to response of searches",
                 {{"rank", rank}})
        .Observe(std::chrono::duration<double>(elapsed).count());
    m_metrics
        .counter("gwt_entry_searches_total", "Searches answered",
                 {{"rank", rank}, {"coverage", isComplete ? "complete" : "partial"}})
        .Increment();
    for (const auto &[service, reason] : result.missing) {
        m_metrics
            .counter("gwt_entry_missing_shards_total", "Shards missing from answered searches",
                     {{"rank", rank}, {"reason", reason}})
            .Increment();
    }
    for (const auto &[reason, count] : result.rejected) {
        m_metrics
            .counter("gwt_entry_rejected_replies_total",
                     "Replies of relays that do not match their request",
                     {{"rank", rank}, {"reason", reason}})
            .Increment(count);
    }
    logDebug("search_answered",
             {{"request_id", query.requestId},
              {"rank", rank},
              {"answered", result.answered.size()},
              {"shards", shards}});
}

} // namespace gwt
