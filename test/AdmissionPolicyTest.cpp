#include "TaskRunner.h"
#include "common/Random.h"
#include "entry/admission/AdmissionGate.h"
#include "relay/AttemptQueue.h"

#include <gtest/gtest.h>

#include <map>

namespace gwt {
namespace {

using namespace std::chrono_literals;

constexpr int entries = 3;
constexpr int slots = 4;
constexpr Microseconds stepLength{100}; ///< time step of the simulation
constexpr int overloadSeconds = 20;
constexpr Milliseconds serviceTime{8};
constexpr double capacity = 1000.0 * slots / serviceTime.count(); ///< queries per second

const std::vector<Rank> ranks = {
    {"urgent", 200ms, 100, 0.3, 1.0, false, false},
    {"desk", 500ms, 10, 0.3, 0.9, false, false},
    {"background", 10'000ms, 1, 0.1, 1.0, false, true},
};

AdmissionQuery makeQuery(std::size_t rank, TimePoint now, std::vector<std::string> services)
{
    AdmissionQuery query;
    query.index = "index";
    query.rank = ranks[rank];
    query.higherRankCount = static_cast<int>(rank);
    query.deadline = now + ranks[rank].target;
    query.services = std::move(services);
    return query;
}

struct RankOutcome
{
    int sent = 0;
    int admitted = 0;
    int completed = 0;
    int inTarget = 0;
};

struct Outcomes
{
    std::vector<RankOutcome> ranks = std::vector<RankOutcome>(3);
    int longestQueue = 0;

    int inTarget() const { return ranks[0].inTarget + ranks[1].inTarget + ranks[2].inTarget; }
};

/// \brief Simulates entries in front of one service whose requests wait in a relay's queue. The
/// entries get load reports only with the replies.
class AdmissionModel
{
public:
    explicit AdmissionModel(const AdmissionPolicy &policy)
        : m_policy(policy)
        , m_loads(entries, ServiceLoadTable({}))
        , m_shares(entries, RankShareMeter(2s))
    { }

    /// \brief Runs \a seconds of Poisson arrivals at \a rates queries per second.
    Outcomes run(const std::vector<double> &rates, int seconds)
    {
        const TimePoint end = m_now + std::chrono::seconds(seconds);
        while (m_now < end) {
            m_now += stepLength;
            for (std::size_t rank = 0; rank < rates.size(); ++rank)
                generateArrivals(rank, rates[rank]);
            finishRequests();
            startRequests();
        }
        return m_outcomes;
    }

private:
    struct ModelRequest
    {
        std::size_t rank = 0;
        std::size_t entry = 0;
        TimePoint arrival;
        TimePoint end;
    };

    void generateArrivals(std::size_t rank, double rate)
    {
        std::poisson_distribution<int> arrivals(
            rate * std::chrono::duration<double>(stepLength).count());
        for (int i = arrivals(m_random); i > 0; --i) {
            RankOutcome &outcome = m_outcomes.ranks[rank];
            ++outcome.sent;
            const std::size_t entry = m_random() % entries;
            const AdmissionQuery query = makeQuery(rank, m_now, {"service"});
            const AdmissionDecision decision
                = m_policy.decide(query, m_loads[entry], m_shares[entry], m_now);
            if (decision.verdict != AdmissionVerdict::Admitted)
                continue;
            ++outcome.admitted;
            m_loads[entry].addInFlight(query.services, query.rank.worth);
            m_shares[entry].add(query.index, query.rank.name, m_now);
            enqueue(rank, entry, query);
        }
    }

    void enqueue(std::size_t rank, std::size_t entry, const AdmissionQuery &query)
    {
        QueuedAttempt attempt;
        attempt.id = m_nextId++;
        attempt.rank = query.rank.name;
        attempt.worth = query.rank.worth;
        attempt.floorShare = query.rank.floorShare;
        attempt.deadline = m_now + 1h;
        m_queue.push(attempt);
        m_queuedRequests[attempt.id] = {rank, entry, m_now, {}};
    }

    void finishRequests()
    {
        std::erase_if(m_running, [this](const ModelRequest &request) {
            if (request.end > m_now)
                return false;
            RankOutcome &outcome = m_outcomes.ranks[request.rank];
            ++outcome.completed;
            outcome.inTarget += m_now - request.arrival <= ranks[request.rank].target ? 1 : 0;
            const Duration delay = serviceTime * queued() / slots;
            m_loads[request.entry].applyReport({"service", delay, serviceTime, slots}, entries,
                                               m_now);
            m_loads[request.entry].removeInFlight({"service"}, ranks[request.rank].worth);
            return true;
        });
    }

    void startRequests()
    {
        std::exponential_distribution<double> time(1.0 / serviceTime.count());
        const auto isEligible = [](const QueuedAttempt &) { return true; };
        std::vector<AttemptId> expired;
        while (m_running.size() < slots) {
            const auto granted = m_queue.pop(m_now, isEligible, expired);
            if (!granted)
                break;
            ModelRequest request = m_queuedRequests.extract(granted->id).mapped();
            const std::chrono::duration<double, std::milli> slotTime(time(m_random));
            request.end = m_now + std::chrono::duration_cast<Duration>(slotTime);
            m_running.push_back(request);
        }
        m_outcomes.longestQueue = std::max(m_outcomes.longestQueue, queued());
    }

    int queued() const { return static_cast<int>(m_queue.size()); }

    const AdmissionPolicy &m_policy;
    RandomEngine m_random{17};
    TimePoint m_now{1h};
    std::vector<ServiceLoadTable> m_loads;
    std::vector<RankShareMeter> m_shares;
    AttemptQueue m_queue;
    AttemptId m_nextId = 1;
    std::map<AttemptId, ModelRequest> m_queuedRequests; ///< by the id of the queued attempt
    std::vector<ModelRequest> m_running;
    Outcomes m_outcomes;
};

struct OverloadCase
{
    std::string name;
    std::vector<double> load; ///< of each rank, as a multiple of the capacity
};

class OverloadTest : public testing::TestWithParam<OverloadCase>
{
protected:
    Outcomes run(const AdmissionPolicy &policy) const
    {
        std::vector<double> rates;
        for (const double load : GetParam().load)
            rates.push_back(load * capacity);
        AdmissionModel model(policy);
        return model.run(rates, overloadSeconds);
    }
};

TEST_P(OverloadTest, everyRankReachesItsFloorAndGoodputStaysHigh)
{
    const Outcomes outcomes = run(RankedAdmission());
    for (std::size_t rank = 0; rank < ranks.size(); ++rank) {
        SCOPED_TRACE(ranks[rank].name);
        const RankOutcome &outcome = outcomes.ranks[rank];
        const double offered = GetParam().load[rank] * capacity * overloadSeconds;
        const double floor = ranks[rank].floorShare * capacity * overloadSeconds;
        EXPECT_GE(outcome.inTarget, 0.9 * std::min(offered, floor));
        EXPECT_GE(outcome.inTarget, 0.99 * outcome.completed);
        EXPECT_LE(outcome.admitted - outcome.completed, 8 * slots) << "admitted queries must end";
    }
    double offered = 0;
    for (const double load : GetParam().load)
        offered += load;
    EXPECT_GE(outcomes.inTarget(), 0.9 * std::min(1.0, offered) * capacity * overloadSeconds);
    EXPECT_LE(serviceTime * outcomes.longestQueue / slots,
              2 * ConcurrencyOptions().queueDelayTarget);
}

TEST_P(OverloadTest, urgentQueriesAreServedFirst)
{
    const RankOutcome urgent = run(RankedAdmission()).ranks[0];
    const double load = GetParam().load[0];
    const double wanted = load <= 0.5 ? 0.99 * urgent.sent : 0.5 * capacity * overloadSeconds;
    EXPECT_GE(urgent.inTarget, wanted);
}

INSTANTIATE_TEST_SUITE_P(Overloads, OverloadTest,
                         testing::Values(OverloadCase{"calm", {0.2, 0.2, 0.1}},
                                         OverloadCase{"background", {0.2, 0.2, 10}},
                                         OverloadCase{"desk", {0.2, 10, 0.2}},
                                         OverloadCase{"urgent", {3, 0.5, 0.2}},
                                         OverloadCase{"all", {3, 10, 10}}),
                         [](const auto &info) { return info.param.name; });

TEST(AdmissionBaselineTest, goodputCollapsesWithoutAdmissionControl)
{
    const AdmitAllPolicy policy;
    AdmissionModel model(policy);
    const Outcomes outcomes = model.run({3 * capacity, 0, 0}, 5);
    EXPECT_LT(outcomes.inTarget(), 0.5 * capacity * 5);
}

TEST(RankedAdmissionTest, anOverloadedShardIsSkippedIfMinimumCoverageAllowsIt)
{
    const TimePoint now{1h};
    std::vector<std::string> services;
    ServiceLoadTable loads({});
    for (int i = 0; i < 20; ++i) {
        services.push_back("s" + std::to_string(i));
        loads.applyReport({services.back(), 0ms, serviceTime, i == 7 ? 1 : slots}, entries, now);
    }
    for (int i = 0; i < 10; ++i)
        loads.addInFlight({"s7"}, ranks[0].worth);
    const RankedAdmission policy;
    const RankShareMeter shares(1s);
    const auto urgent = policy.decide(makeQuery(0, now, services), loads, shares, now);
    EXPECT_EQ(urgent.verdict, AdmissionVerdict::AtLimit);
    const auto desk = policy.decide(makeQuery(1, now, services), loads, shares, now);
    EXPECT_EQ(desk.verdict, AdmissionVerdict::Admitted);
    EXPECT_EQ(desk.skipped, std::vector<std::string>{"s7"});
}

TEST(RankedAdmissionTest, aQueryThatWouldMissItsDeadlineIsRefusedUntilTheQueueDrains)
{
    const TimePoint now{1h};
    ServiceLoadTable loads({});
    loads.applyReport({"service", 300ms, serviceTime, slots}, entries, now);
    const RankedAdmission policy;
    const RankShareMeter shares(1s);
    const auto atOnce = policy.decide(makeQuery(0, now, {"service"}), loads, shares, now);
    EXPECT_EQ(atOnce.verdict, AdmissionVerdict::Refused);
    EXPECT_EQ(atOnce.reason, "too_late");
    const TimePoint later = now + 250ms;
    const auto drained = policy.decide(makeQuery(0, later, {"service"}), loads, shares, later);
    EXPECT_EQ(drained.verdict, AdmissionVerdict::Admitted);
}

TEST(RankedAdmissionTest, requestsOfLowerWorthNeitherDelayNorBlockARank)
{
    const TimePoint now{1h};
    ServiceLoadTable loads({});
    loads.applyReport({"service", 300ms, serviceTime, slots}, entries, now);
    for (int i = 0; i < 20; ++i)
        loads.addInFlight({"service"}, ranks[1].worth);
    const RankedAdmission policy;
    const RankShareMeter shares(1s);
    const auto urgent = policy.decide(makeQuery(0, now, {"service"}), loads, shares, now);
    EXPECT_EQ(urgent.verdict, AdmissionVerdict::Admitted);
    const auto desk = policy.decide(makeQuery(1, now, {"service"}), loads, shares, now);
    EXPECT_EQ(desk.verdict, AdmissionVerdict::AtLimit);
}

struct RetryCase
{
    std::string name;
    int refusals = 0; ///< within one second
    double admittedPerSecond = 0;
    std::chrono::seconds shortest{0};
    std::chrono::seconds longest{0};
};

class RetryAdviceTest : public testing::TestWithParam<RetryCase>
{ };

TEST_P(RetryAdviceTest, retryAfterGrowsWithTheRefusedWork)
{
    RetryAdvice advice(2s, 1s, 30s);
    TimePoint now{1h};
    for (int i = 0; i < GetParam().refusals; ++i) {
        now += 1s / std::max(1, GetParam().refusals);
        advice.addRefusal("index", "desk", now);
    }
    const Duration wait = advice.retryAfter("index", "desk", GetParam().admittedPerSecond, now);
    EXPECT_GE(wait, GetParam().shortest);
    EXPECT_LE(wait, GetParam().longest);
}

INSTANTIATE_TEST_SUITE_P(Refusals, RetryAdviceTest,
                         testing::Values(RetryCase{"none", 0, 100, 1s, 1s},
                                         RetryCase{"few", 5, 100, 1s, 1s},
                                         RetryCase{"flood", 1000, 100, 7s, 10s},
                                         RetryCase{"nothingIsAdmitted", 1000, 0, 30s, 30s}),
                         [](const auto &info) { return info.param.name; });

class EmptyMembershipView : public MembershipView
{
public:
    std::shared_ptr<const MemberList> members() const override
    {
        return std::make_shared<const MemberList>();
    }
};

class AdmissionGateTest : public testing::Test
{
protected:
    ~AdmissionGateTest() override { m_pool.stop(); }

    static AdmissionOptions makeOptions()
    {
        AdmissionOptions options;
        options.concurrency.initialLimit = 4;
        options.backgroundQueueLimit = 3;
        return options;
    }

    /// \brief A query of a rank without a floor, which cannot exceed the concurrency limit.
    static AdmissionQuery makeQueryWithoutFloor(std::size_t rank)
    {
        AdmissionQuery query = makeQuery(rank, Clock::now(), {"service"});
        query.rank.floorShare = 0;
        return query;
    }

    Outcome<std::shared_ptr<AdmissionTicket>> admit(std::size_t rank)
    {
        return runTask(m_pool, m_gate.admit(makeQueryWithoutFloor(rank), {}));
    }

    auto admitAsync(std::size_t rank, CancelToken cancel = {})
    {
        return asio::co_spawn(m_pool.strand(),
                              m_gate.admit(makeQueryWithoutFloor(rank), std::move(cancel)),
                              asio::use_future);
    }

    void waitForQueued(int count)
    {
        for (int i = 0; i < 5000 && m_gate.queuedQueries() != count; ++i)
            std::this_thread::sleep_for(1ms);
        ASSERT_EQ(m_gate.queuedQueries(), count);
    }

    WorkerPool m_pool{2};
    EmptyMembershipView m_members;
    Metrics m_metrics;
    AdmissionGate m_gate{m_members, makeOptions(), m_metrics};
};

TEST_F(AdmissionGateTest, finishingATicketAfterItsGateIsDestroyedIsSafe)
{
    auto gate = std::make_unique<AdmissionGate>(m_members, makeOptions(), m_metrics);
    const auto ticket = valueOf(runTask(m_pool, gate->admit(makeQueryWithoutFloor(0), {})));
    gate.reset();
    ticket->finish({"service"}, {});
}

TEST_F(AdmissionGateTest, backgroundQueriesWaitInABoundedQueueUntilAdmitted)
{
    auto first = valueOf(admit(0));
    auto second = valueOf(admit(0));
    auto third = valueOf(admit(0));
    EXPECT_EQ(errorOf(admit(1)).reason, "slices_busy");
    auto waiting = admitAsync(2);
    waitForQueued(1);
    auto cancelled = CancelToken();
    auto abandoned = admitAsync(2, cancelled);
    auto last = admitAsync(2);
    waitForQueued(3);
    EXPECT_EQ(errorOf(admit(2)).reason, "background_queue_full");
    cancelled.cancel();
    EXPECT_EQ(errorOf(abandoned.get()).code, ErrorCode::Cancelled);
    first.reset();
    second.reset();
    const auto resumed = waiting.get();
    ASSERT_TRUE(isOk(resumed));
    third.reset();
    EXPECT_TRUE(isOk(last.get()));
    EXPECT_EQ(m_gate.queuedQueries(), 0);
    EXPECT_NE(m_metrics.text().find("reason=\"background_queue_full\""), std::string::npos);
}

} // namespace
} // namespace gwt
