#include "relay/queries/LegRunner.h"

namespace gwt {

namespace {

constexpr int overrunFactor = 3; ///< of the mean time in a slot, for a leg cut by its deadline

/// \brief Whether another replica may answer after \a error; searches are idempotent.
ExtraCause extraCauseOf(const Error &error)
{
    const bool isFinal = error.code == ErrorCode::Timeout || error.code == ErrorCode::Cancelled
        || error.code == ErrorCode::InvalidArgument;
    return isFinal ? ExtraCause::None : ExtraCause::Failed;
}

} // namespace

LegRunner::LegRunner(Executor executor, const ConfigHolder &config, ServiceTable &services,
                     BackendClient &backends, SearchMetrics &metrics, double extraLoadShare)
    : m_executor(std::move(executor))
    , m_config(config)
    , m_services(services)
    , m_backends(backends)
    , m_metrics(metrics)
    , m_budget(extraLoadShare)
{ }

Task<Outcome<BackendSearchReply>>
LegRunner::run(BackendSearchRequest leg, TimePoint deadline, CancelToken cancel,
               std::shared_ptr<std::atomic<std::uint32_t>> extraLegs)
{
    const Outcome<DispatcherPtr> found = m_services.find(leg.service);
    if (!isOk(found))
        co_return errorOf(found);
    const DispatcherPtr dispatcher = valueOf(found);
    const ConfigPtr config = m_config.current();
    const Rank *rank = config->rank(leg.rank);
    QueuedAttempt waiting = QueuedAttempt::of(leg.rank, rank, deadline);
    Outcome<SlotLease> lease = co_await dispatcher->acquire(waiting, cancel);
    if (!isOk(lease))
        co_return errorOf(lease);
    {
        const std::lock_guard lock(m_budgetMutex);
        m_budget.recordFirstAttempt();
    }
    waiting.isExtra = true;
    waiting.excludedReplica = valueOf(lease).replica();
    const auto race = std::make_shared<LegRace>();
    const auto registration = cancel.onCancel([race] { race->cancelToken().cancel(); });
    spawn(asio::make_strand(m_executor),
          attempt(race, dispatcher, leg, std::move(valueOf(lease)), deadline, false));

    const auto delay
        = dispatcher->hedgeDelay(leg.rank, rank && rank->isHedged, waiting.excludedReplica);
    const TimePoint hedgeTime = delay ? Clock::now() + *delay : deadline;
    const ExtraCause cause = co_await race->waitForExtra(std::min(hedgeTime, deadline));
    const bool isDue = cause != ExtraCause::None && Clock::now() < deadline
        && !race->cancelToken().isCancelled();
    const bool hasOther = isDue && dispatcher->load().liveReplicas > 1;
    if (hasOther && takeExtraToken()) {
        spawn(asio::make_strand(m_executor),
              attemptExtra(race, dispatcher, std::move(leg), std::move(waiting), deadline, cause,
                           extraLegs));
    } else {
        if (isDue)
            m_metrics.countDenied(hasOther ? "budget" : "no_other_replica", waiting.rank);
        race->declineExtra();
    }
    Outcome<BackendSearchReply> reply = co_await race->wait(deadline);
    race->cancelToken().cancel();
    co_return reply;
}

Task<void> LegRunner::attemptExtra(RacePtr race, DispatcherPtr dispatcher, BackendSearchRequest leg,
                                   QueuedAttempt waiting, TimePoint deadline, ExtraCause cause,
                                   std::shared_ptr<std::atomic<std::uint32_t>> extraLegs)
{
    const CancelToken cancel = race->cancelToken();
    Outcome<SlotLease> lease = co_await dispatcher->acquire(std::move(waiting), cancel);
    if (!isOk(lease)) {
        giveBackExtraToken();
        m_metrics.countDenied(errorOf(lease).reason, leg.rank);
        race->declineExtra();
        co_return;
    }
    ++*extraLegs;
    m_metrics.countExtra(cause, leg.rank);
    co_await attempt(race, dispatcher, std::move(leg), std::move(valueOf(lease)), deadline, true);
}

Task<void> LegRunner::attempt(RacePtr race, DispatcherPtr dispatcher, BackendSearchRequest leg,
                              SlotLease lease, TimePoint deadline, bool isExtra)
{
    leg.attemptId = m_nextLegId++;
    const std::string rank = leg.rank;
    const CancelToken cancel = race->cancelToken();
    BackendSearchResult end
        = co_await m_backends.search(lease.server(), std::move(leg), deadline, cancel);
    Outcome<BackendSearchReply> &reply = end.reply;
    learn(*dispatcher, lease.replica(), reply);
    lease.release(judge(reply, *race, isExtra, end.elapsed, *dispatcher), end.elapsed);
    if (!isOk(reply)) {
        m_metrics.countFailed(errorOf(reply).reason, rank);
        if (errorOf(reply).code == ErrorCode::Malformed)
            m_metrics.countRejected(errorOf(reply).reason, rank);
        const bool isBeaten = errorOf(reply).code == ErrorCode::Cancelled && race->isOver();
        if (isBeaten)
            m_metrics.countCancelled(rank);
        race->fail(errorOf(reply), isExtra ? ExtraCause::None : extraCauseOf(errorOf(reply)));
        co_return;
    }
    if (race->win(std::move(valueOf(reply))) && isExtra)
        m_metrics.countExtraWin(rank);
}

AttemptOutcome LegRunner::judge(const Outcome<BackendSearchReply> &reply, const LegRace &race,
                                bool isExtra, Duration elapsed, const ServiceDispatcher &dispatcher)
{
    if (isOk(reply))
        return AttemptOutcome::Answered;
    const Error &error = errorOf(reply);
    if (error.code == ErrorCode::Cancelled)
        return race.isOver() && !isExtra ? AttemptOutcome::Overrun : AttemptOutcome::Neutral;
    if (error.code == ErrorCode::Timeout) {
        const bool isLong = elapsed > dispatcher.load().serviceTime * overrunFactor;
        return isLong ? AttemptOutcome::Overrun : AttemptOutcome::Neutral;
    }
    const bool isAuthoritative
        = error.code == ErrorCode::NotRun || error.code == ErrorCode::NotFound;
    return isAuthoritative ? AttemptOutcome::Neutral : AttemptOutcome::Failed;
}

void LegRunner::learn(ServiceDispatcher &dispatcher, const std::string &replica,
                      const Outcome<BackendSearchReply> &reply)
{
    if (isOk(reply))
        dispatcher.recordVersion(valueOf(reply).newestVersion);
    const bool isDraining
        = isOk(reply) ? valueOf(reply).isDraining : errorOf(reply).reason == "draining";
    if (isDraining)
        dispatcher.markDraining(replica);
}

bool LegRunner::takeExtraToken()
{
    const std::lock_guard lock(m_budgetMutex);
    return m_budget.tryAcquire();
}

void LegRunner::giveBackExtraToken()
{
    const std::lock_guard lock(m_budgetMutex);
    m_budget.refund();
}

} // namespace gwt
