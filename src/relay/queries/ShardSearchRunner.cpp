#include "relay/queries/ShardSearchRunner.h"

namespace gwt {

namespace {

/// \brief A timed-out attempt is an overrun beyond this multiple of the mean time in a slot.
constexpr int overrunFactor = 3;

/// \brief Retry if another replica may answer after \a error; searches are idempotent.
ExtraAttempt extraAttemptAfter(const Error &error)
{
    const bool isFinal = error.code == ErrorCode::Timeout || error.code == ErrorCode::Cancelled
        || error.code == ErrorCode::InvalidArgument;
    return isFinal ? ExtraAttempt::None : ExtraAttempt::Retry;
}

} // namespace

ShardSearchRunner::ShardSearchRunner(Executor executor, const ConfigHolder &config,
                                     ServiceTable &services, BackendClient &backends,
                                     SearchMetrics &metrics, double extraLoadShare)
    : m_executor(std::move(executor))
    , m_config(config)
    , m_services(services)
    , m_backends(backends)
    , m_metrics(metrics)
    , m_budget(extraLoadShare)
{ }

Task<Outcome<BackendSearchReply>>
ShardSearchRunner::run(BackendSearchRequest request, TimePoint deadline, CancelToken cancel,
                       std::shared_ptr<std::atomic<std::uint32_t>> extraAttempts)
{
    const Outcome<DispatcherPtr> found = m_services.find(request.service);
    if (!isOk(found))
        co_return errorOf(found);
    const DispatcherPtr dispatcher = valueOf(found);
    const ConfigPtr config = m_config.current();
    const Rank *rank = config->rank(request.rank);
    QueuedAttempt queued = QueuedAttempt::of(request.rank, rank, deadline);
    Outcome<SlotLease> lease = co_await dispatcher->acquire(queued, cancel);
    if (!isOk(lease))
        co_return errorOf(lease);
    {
        const std::lock_guard lock(m_budgetMutex);
        m_budget.recordFirstAttempt();
    }
    queued.isExtra = true;
    queued.excludedReplica = valueOf(lease).replica();
    const auto race = std::make_shared<AttemptRace>();
    const auto registration = cancel.onCancel([race] { race->cancelToken().cancel(); });
    spawn(asio::make_strand(m_executor),
          runAttempt(race, dispatcher, request, std::move(valueOf(lease)), deadline, false));

    const auto hedgeDelay
        = dispatcher->hedgeDelay(request.rank, rank && rank->isHedged, queued.excludedReplica);
    const TimePoint hedgeTime = hedgeDelay ? Clock::now() + *hedgeDelay : deadline;
    const ExtraAttempt kind = co_await race->waitForExtraAttempt(std::min(hedgeTime, deadline));
    const bool isDue = kind != ExtraAttempt::None && Clock::now() < deadline
        && !race->cancelToken().isCancelled();
    const bool hasOtherReplica = isDue && dispatcher->load().liveReplicas > 1;
    if (hasOtherReplica && tryAcquireExtraToken()) {
        spawn(asio::make_strand(m_executor),
              runExtraAttempt(race, dispatcher, std::move(request), std::move(queued), deadline,
                              kind, extraAttempts));
    } else {
        if (isDue)
            m_metrics.countDeniedExtraAttempt(hasOtherReplica ? "budget" : "no_other_replica",
                                              queued.rank);
        race->declineExtraAttempt();
    }
    Outcome<BackendSearchReply> reply = co_await race->waitForReply(deadline);
    race->cancelToken().cancel();
    co_return reply;
}

Task<void>
ShardSearchRunner::runExtraAttempt(RacePtr race, DispatcherPtr dispatcher,
                                   BackendSearchRequest request, QueuedAttempt queued,
                                   TimePoint deadline, ExtraAttempt kind,
                                   std::shared_ptr<std::atomic<std::uint32_t>> extraAttempts)
{
    const CancelToken cancel = race->cancelToken();
    Outcome<SlotLease> lease = co_await dispatcher->acquire(std::move(queued), cancel);
    if (!isOk(lease)) {
        refundExtraToken();
        m_metrics.countDeniedExtraAttempt(errorOf(lease).reason, request.rank);
        race->declineExtraAttempt();
        co_return;
    }
    ++*extraAttempts;
    m_metrics.countExtraAttempt(kind, request.rank);
    co_await runAttempt(race, dispatcher, std::move(request), std::move(valueOf(lease)), deadline,
                        true);
}

Task<void> ShardSearchRunner::runAttempt(RacePtr race, DispatcherPtr dispatcher,
                                         BackendSearchRequest request, SlotLease lease,
                                         TimePoint deadline, bool isExtra)
{
    request.attemptId = m_nextAttemptId++;
    const std::string rank = request.rank;
    const CancelToken cancel = race->cancelToken();
    BackendSearchResult result
        = co_await m_backends.search(lease.server(), std::move(request), deadline, cancel);
    Outcome<BackendSearchReply> &reply = result.reply;
    recordServerState(*dispatcher, lease.replica(), reply);
    lease.release(classify(reply, *race, isExtra, result.elapsed, *dispatcher), result.elapsed);
    if (!isOk(reply)) {
        m_metrics.countFailedAttempt(errorOf(reply).reason, rank);
        if (errorOf(reply).code == ErrorCode::Malformed)
            m_metrics.countRejectedReply(errorOf(reply).reason, rank);
        const bool isRaceLost = errorOf(reply).code == ErrorCode::Cancelled && race->isDecided();
        if (isRaceLost)
            m_metrics.countCancelledAttempt(rank);
        race->fail(errorOf(reply),
                   isExtra ? ExtraAttempt::None : extraAttemptAfter(errorOf(reply)));
        co_return;
    }
    if (race->succeed(std::move(valueOf(reply))) && isExtra)
        m_metrics.countExtraAttemptWin(rank);
}

AttemptOutcome ShardSearchRunner::classify(const Outcome<BackendSearchReply> &reply,
                                           const AttemptRace &race, bool isExtra, Duration elapsed,
                                           const ServiceDispatcher &dispatcher)
{
    if (isOk(reply))
        return AttemptOutcome::Answered;
    const Error &error = errorOf(reply);
    if (error.code == ErrorCode::Cancelled)
        return race.isDecided() && !isExtra ? AttemptOutcome::Overrun : AttemptOutcome::Neutral;
    if (error.code == ErrorCode::Timeout) {
        const bool isOverrun = elapsed > dispatcher.load().serviceTime * overrunFactor;
        return isOverrun ? AttemptOutcome::Overrun : AttemptOutcome::Neutral;
    }
    const bool isServerRefusal
        = error.code == ErrorCode::NotRun || error.code == ErrorCode::NotFound;
    return isServerRefusal ? AttemptOutcome::Neutral : AttemptOutcome::Failed;
}

void ShardSearchRunner::recordServerState(ServiceDispatcher &dispatcher, const std::string &replica,
                                          const Outcome<BackendSearchReply> &reply)
{
    if (isOk(reply))
        dispatcher.recordVersion(valueOf(reply).newestVersion);
    const bool isDraining
        = isOk(reply) ? valueOf(reply).isDraining : errorOf(reply).reason == "draining";
    if (isDraining)
        dispatcher.markDraining(replica);
}

bool ShardSearchRunner::tryAcquireExtraToken()
{
    const std::lock_guard lock(m_budgetMutex);
    return m_budget.tryAcquire();
}

void ShardSearchRunner::refundExtraToken()
{
    const std::lock_guard lock(m_budgetMutex);
    m_budget.refund();
}

} // namespace gwt
