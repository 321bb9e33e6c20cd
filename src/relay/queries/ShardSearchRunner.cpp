#include "relay/queries/ShardSearchRunner.h"

namespace gwt {

namespace {

/// \brief A timed-out attempt is an overrun beyond this multiple of the mean time in a slot.
constexpr int overrunFactor = 3;

/// \brief Whether another replica may answer after \a error; searches are idempotent.
ExtraCause extraCauseOf(const Error &error)
{
    const bool isFinal = error.code == ErrorCode::Timeout || error.code == ErrorCode::Cancelled
        || error.code == ErrorCode::InvalidArgument;
    return isFinal ? ExtraCause::None : ExtraCause::Failed;
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

Task<Outcome<SearchLegReply>>
ShardSearchRunner::run(SearchLeg leg, TimePoint deadline, CancelToken cancel,
                       std::shared_ptr<std::atomic<std::uint32_t>> extraLegs)
{
    const Outcome<DispatcherPtr> found = m_services.find(leg.service);
    if (!isOk(found))
        co_return errorOf(found);
    const DispatcherPtr dispatcher = valueOf(found);
    const ConfigPtr config = m_config.current();
    const Rank *rank = config->rank(leg.rank);
    QueuedLeg waiting = QueuedLeg::of(leg.rank, rank, deadline);
    Outcome<SlotLease> lease = co_await dispatcher->acquire(waiting, cancel);
    if (!isOk(lease))
        co_return errorOf(lease);
    {
        const std::lock_guard lock(m_budgetMutex);
        m_budget.countLeg();
    }
    waiting.isExtra = true;
    waiting.avoid = valueOf(lease).replica();
    const auto race = std::make_shared<AttemptRace>();
    const auto registration = cancel.onCancel([race] { race->cancelToken().cancel(); });
    spawn(asio::make_strand(m_executor),
          attempt(race, dispatcher, leg, std::move(valueOf(lease)), deadline, false));

    const auto delay = dispatcher->hedgeDelay(leg.rank, rank && rank->isHedged, waiting.avoid);
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
    Outcome<SearchLegReply> reply = co_await race->wait(deadline);
    race->cancelToken().cancel();
    co_return reply;
}

Task<void> ShardSearchRunner::attemptExtra(RacePtr race, DispatcherPtr dispatcher, SearchLeg leg,
                                           QueuedLeg waiting, TimePoint deadline, ExtraCause cause,
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

Task<void> ShardSearchRunner::attempt(RacePtr race, DispatcherPtr dispatcher, SearchLeg leg,
                                      SlotLease lease, TimePoint deadline, bool isExtra)
{
    leg.legId = m_nextLegId++;
    const std::string rank = leg.rank;
    const CancelToken cancel = race->cancelToken();
    SearchLegEnd end = co_await m_backends.search(lease.server(), std::move(leg), deadline, cancel);
    Outcome<SearchLegReply> &reply = end.reply;
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

LegEnd ShardSearchRunner::judge(const Outcome<SearchLegReply> &reply, const AttemptRace &race,
                                bool isExtra, Duration elapsed, const ServiceDispatcher &dispatcher)
{
    if (isOk(reply))
        return LegEnd::Answered;
    const Error &error = errorOf(reply);
    if (error.code == ErrorCode::Cancelled)
        return race.isOver() && !isExtra ? LegEnd::Overrun : LegEnd::Neutral;
    if (error.code == ErrorCode::Timeout) {
        const bool isLong = elapsed > dispatcher.load().serviceTime * overrunFactor;
        return isLong ? LegEnd::Overrun : LegEnd::Neutral;
    }
    const bool isAuthoritative
        = error.code == ErrorCode::NotRun || error.code == ErrorCode::NotFound;
    return isAuthoritative ? LegEnd::Neutral : LegEnd::Failed;
}

void ShardSearchRunner::learn(ServiceDispatcher &dispatcher, const std::string &replica,
                              const Outcome<SearchLegReply> &reply)
{
    if (isOk(reply))
        dispatcher.noteVersion(valueOf(reply).newestVersion);
    const bool isDraining
        = isOk(reply) ? valueOf(reply).isDraining : errorOf(reply).reason == "draining";
    if (isDraining)
        dispatcher.markDraining(replica);
}

bool ShardSearchRunner::takeExtraToken()
{
    const std::lock_guard lock(m_budgetMutex);
    return m_budget.take();
}

void ShardSearchRunner::giveBackExtraToken()
{
    const std::lock_guard lock(m_budgetMutex);
    m_budget.giveBack();
}

} // namespace gwt
