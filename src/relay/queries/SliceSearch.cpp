#include "relay/queries/SliceSearch.h"

#include "common/Log.h"

#include <algorithm>
#include <set>

namespace gwt {

namespace {

constexpr Milliseconds mergeMargin{4}; ///< reserved for merging and for returning the reply

std::string missingReason(const Error &error)
{
    if (error.reason == "expired_in_queue" || error.code == ErrorCode::Timeout)
        return "late";
    if (error.reason == "shed" || error.reason == "draining" || error.reason == "version_gone")
        return error.reason;
    if (error.code == ErrorCode::Malformed)
        return "bad_reply";
    if (error.code == ErrorCode::Cancelled || error.reason == "cancelled_in_queue")
        return "cancelled";
    if (error.reason == "not_owner")
        return "no_relay";
    if (error.code == ErrorCode::Overloaded || error.reason == "no_such_service")
        return "no_replica";
    return "lost";
}

} // namespace

void retainTopHits(std::vector<wire::Hit> &hits, std::size_t limit)
{
    const auto isBetter = [](const wire::Hit &a, const wire::Hit &b) {
        return a.score() != b.score() ? a.score() > b.score() : a.id() < b.id();
    };
    const std::size_t count = std::min(limit, hits.size());
    std::partial_sort(hits.begin(), hits.begin() + static_cast<std::ptrdiff_t>(count), hits.end(),
                      isBetter);
    hits.resize(count);
}

SliceSearch::SliceSearch(Executor executor, const ConfigHolder &config, ServiceTable &services,
                         BackendClient &backends, Metrics &metrics, double extraLoadShare)
    : m_executor(std::move(executor))
    , m_services(services)
    , m_metrics(metrics)
    , m_runner(m_executor, config, services, backends, m_metrics, extraLoadShare)
{ }

Task<wire::SliceSearchReply> SliceSearch::run(wire::SliceSearchRequest request, TimePoint deadline,
                                              CancelToken cancel)
{
    if (ownsNoneOf(request)) {
        wire::SliceSearchReply refusal;
        refusal.set_request_id(request.request_id());
        refusal.set_leg_id(request.leg_id());
        refusal.set_version(request.version());
        refusal.set_refused("not_owner");
        m_metrics.countRefusedSearch("not_owner", request.rank());
        co_return refusal;
    }
    const TimePoint searchDeadline = deadline - mergeMargin;
    const CancelToken searchCancel;
    const auto registration = cancel.onCancel([searchCancel] { searchCancel.cancel(); });
    const auto extraAttempts = std::make_shared<std::atomic<std::uint32_t>>(0);
    const Gather<MergedReplies> gather(request.services_size());
    for (const std::string &service : request.services()) {
        spawn(asio::make_strand(m_executor),
              runService(request, service, searchDeadline, searchCancel, gather, extraAttempts));
    }
    MergedReplies merged = co_await gather.take(searchDeadline);
    searchCancel.cancel();
    wire::SliceSearchReply reply = makeReply(request, std::move(merged));
    reply.set_extra_legs(extraAttempts->load());
    logDebug("slice_answered",
             {{"request_id", request.request_id()},
              {"leg_id", request.leg_id()},
              {"answered", reply.answered_size()},
              {"missing", reply.missing_size()}});
    co_return reply;
}

bool SliceSearch::ownsNoneOf(const wire::SliceSearchRequest &request)
{
    for (const std::string &service : request.services()) {
        const auto found = m_services.find(service);
        if (isOk(found) || errorOf(found).reason != "not_owner")
            return false;
    }
    return request.services_size() > 0;
}

wire::SliceSearchReply SliceSearch::makeReply(const wire::SliceSearchRequest &request,
                                              MergedReplies merged)
{
    wire::SliceSearchReply reply;
    reply.set_request_id(request.request_id());
    reply.set_leg_id(request.leg_id());
    reply.set_version(request.version());
    retainTopHits(merged.hits, request.limit());
    for (wire::Hit &hit : merged.hits)
        *reply.add_hits() = std::move(hit);
    const std::set<std::string> answered(merged.answered.begin(), merged.answered.end());
    for (const std::string &service : request.services()) {
        *reply.add_services() = stateOf(service);
        if (answered.count(service)) {
            reply.add_answered(service);
            continue;
        }
        const auto reason = merged.missing.find(service);
        wire::MissingShard *missing = reply.add_missing();
        missing->set_service(service);
        missing->set_reason(reason == merged.missing.end() ? "late" : reason->second);
        m_metrics.countMissingShard(missing->reason(), request.rank());
    }
    return reply;
}

Task<void> SliceSearch::runService(wire::SliceSearchRequest request, std::string service,
                                   TimePoint deadline, CancelToken cancel,
                                   Gather<MergedReplies> gather, ExtraAttemptCounter extraAttempts)
{
    BackendSearchRequest backendRequest;
    backendRequest.requestId = request.request_id();
    backendRequest.index = request.index();
    backendRequest.service = service;
    backendRequest.version = request.version();
    backendRequest.rank = request.rank();
    backendRequest.query = request.query();
    backendRequest.limit = request.limit();
    Outcome<BackendSearchReply> reply
        = co_await m_runner.run(std::move(backendRequest), deadline, cancel, extraAttempts);
    gather.add([&](MergedReplies &merged) {
        if (!isOk(reply)) {
            merged.missing[service] = missingReason(errorOf(reply));
            return;
        }
        merged.answered.push_back(service);
        for (wire::Hit &hit : valueOf(reply).hits)
            merged.hits.push_back(std::move(hit));
    });
}

wire::ServiceState SliceSearch::stateOf(const std::string &service)
{
    wire::ServiceState state;
    state.set_service(service);
    const auto found = m_services.find(service);
    if (!isOk(found))
        return state;
    const std::shared_ptr<ServiceDispatcher> dispatcher = valueOf(found);
    const auto toMicroseconds = [](Duration duration) {
        return static_cast<std::uint64_t>(
            std::chrono::duration_cast<Microseconds>(duration).count());
    };
    const ServiceLoad load = dispatcher->load();
    state.set_newest_version(dispatcher->newestVersion());
    state.set_queue_delay_us(toMicroseconds(load.queueDelay));
    state.set_service_time_us(toMicroseconds(load.serviceTime));
    state.set_queue_length(static_cast<std::uint32_t>(load.queueLength));
    state.set_live_replicas(static_cast<std::uint32_t>(load.liveReplicas));
    state.set_slots(static_cast<std::uint32_t>(load.slots));
    return state;
}

} // namespace gwt
