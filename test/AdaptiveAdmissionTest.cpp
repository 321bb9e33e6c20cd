#include "gateway/policy/AdaptiveAdmission.h"
#include "gateway/policy/AdmissionTable.h"

#include <gtest/gtest.h>

#include <queue>

namespace gwt {
namespace {

using namespace std::chrono_literals;

constexpr Duration target = 100ms;
constexpr double halfAnsweredShare = 0.5; ///< share of the target at which the pressure is 1
/// Work of one query; the simulated shards do one second of work per second.
constexpr Duration queryWork = 10ms;

/// \brief Traffic of one rank in queries per second, normally and during a flood.
struct Traffic
{
    int rank = 0;
    double normalRate = 0;
    double floodRate = 0;
};

struct RankOutcome
{
    int offered = 0;
    int inTarget = 0;
    int refused = 0;

    double share() const { return offered == 0 ? 1 : static_cast<double>(inTarget) / offered; }
};

/// \brief Simulates shards as one first-in first-out queue.
class QueueModel
{
public:
    explicit QueueModel(AdmissionControl &control)
        : m_control(control)
    { }

    /// \brief Simulates \a traffic from \a begin to \a end, at its flood rate if \a isFlooded.
    std::map<int, RankOutcome> simulate(const std::vector<Traffic> &traffic, bool isFlooded,
                                        Duration begin, Duration end)
    {
        std::map<int, RankOutcome> outcomes;
        for (Duration at = begin; at < end; at += 1ms) {
            const TimePoint now = TimePoint() + 1h + at;
            report(now);
            for (const Traffic &each : traffic) {
                double &arrivals = m_pendingArrivals[each.rank];
                for (arrivals += (isFlooded ? each.floodRate : each.normalRate) / 1000;
                     arrivals >= 1; arrivals -= 1)
                    arrive(each.rank, now, outcomes[each.rank]);
            }
        }
        return outcomes;
    }

private:
    struct Query
    {
        TimePoint done;
        TimePoint arrived;
        int rank = 0;
        bool operator<(const Query &other) const { return done > other.done; }
    };

    void arrive(int rank, TimePoint now, RankOutcome &outcome)
    {
        ++outcome.offered;
        if (!m_control.admit(rank, queryWork, now)) {
            ++outcome.refused;
            return;
        }
        m_busyUntil = std::max(m_busyUntil, now) + queryWork;
        m_running.push({m_busyUntil, now, rank});
        if (m_busyUntil - now <= target)
            ++outcome.inTarget;
    }

    void report(TimePoint now)
    {
        while (!m_running.empty() && m_running.top().done <= now) {
            const Query query = m_running.top();
            m_running.pop();
            const double pressure = std::chrono::duration<double>(query.done - query.arrived)
                / std::chrono::duration<double>(target * halfAnsweredShare);
            m_control.record(query.rank, pressure, query.arrived, now);
        }
    }

    AdmissionControl &m_control;
    std::map<int, double> m_pendingArrivals;
    std::priority_queue<Query> m_running;
    TimePoint m_busyUntil;
};

struct FloodCase
{
    const char *name;
    std::vector<Traffic> traffic;
    double minUsefulShare; ///< least share of the capacity used for queries in target, in the flood
    double minUrgentShare; ///< least share of the queries of rank 0 in target, in the flood
    double minLessUrgentShare; ///< least share of the queries of rank 1 in target, in the flood
};

class AdmissionFloodTest : public testing::TestWithParam<FloodCase>
{ };

TEST_P(AdmissionFloodTest, admittedQueriesMeetTargetAndLimitIsLifted)
{
    AdaptiveAdmission admission;
    QueueModel model(admission);
    const auto before = model.simulate(GetParam().traffic, false, 0s, 5s);
    for (const auto &[rank, outcome] : before)
        EXPECT_EQ(outcome.refused, 0) << "before the flood, rank " << rank;
    const auto outcomes = model.simulate(GetParam().traffic, true, 5s, 15s);
    int inTarget = 0;
    for (const auto &[rank, outcome] : outcomes)
        inTarget += outcome.inTarget;
    const double capacity = 10s / queryWork;
    EXPECT_GE(inTarget / capacity, GetParam().minUsefulShare);
    EXPECT_GE(outcomes.at(0).share(), GetParam().minUrgentShare);
    EXPECT_GE(outcomes.at(1).share(), GetParam().minLessUrgentShare);
    // Two seconds after the end of the flood no query is refused any more.
    model.simulate(GetParam().traffic, false, 15s, 17s);
    for (const auto &[rank, outcome] : model.simulate(GetParam().traffic, false, 17s, 20s))
        EXPECT_EQ(outcome.refused, 0) << "after the flood, rank " << rank;
    EXPECT_FALSE(admission.isBounded());
}

// A process that starts in a flood has never seen normal traffic.
TEST_P(AdmissionFloodTest, aFloodFromTheStartLeavesCapacityUseful)
{
    AdaptiveAdmission admission;
    QueueModel model(admission);
    const auto outcomes = model.simulate(GetParam().traffic, true, 0s, 10s);
    int inTarget = 0;
    for (const auto &[rank, outcome] : outcomes)
        inTarget += outcome.inTarget;
    const double capacity = 10s / queryWork;
    EXPECT_GE(inTarget / capacity, GetParam().minUsefulShare);
    model.simulate(GetParam().traffic, false, 10s, 12s);
    for (const auto &[rank, outcome] : model.simulate(GetParam().traffic, false, 12s, 15s))
        EXPECT_EQ(outcome.refused, 0) << "after the flood, rank " << rank;
}

TEST_P(AdmissionFloodTest, unlimitedBaselineMissesMostTargets)
{
    UnlimitedAdmission unlimited;
    QueueModel model(unlimited);
    model.simulate(GetParam().traffic, false, 0s, 5s);
    const auto outcomes = model.simulate(GetParam().traffic, true, 5s, 15s);
    int inTarget = 0;
    for (const auto &[rank, outcome] : outcomes)
        inTarget += outcome.inTarget;
    const double capacity = 10s / queryWork;
    EXPECT_LT(inTarget / capacity, 0.1);
}

// The capacity is 100 queries per second; rank 0 normally sends 15 and rank 1 sends 30. At least
// half of the capacity must stay useful in a flood; each rank is guaranteed 0.12 of the capacity.
INSTANTIATE_TEST_SUITE_P(
    All, AdmissionFloodTest,
    testing::Values(FloodCase{"lessUrgentRankFloods", {{0, 15, 15}, {1, 30, 200}}, 0.5, 0.85, 0.15},
                    FloodCase{"mostUrgentRankFloods", {{0, 15, 250}, {1, 30, 30}}, 0.5, 0.15, 0.1},
                    FloodCase{"bothRanksFlood", {{0, 15, 60}, {1, 30, 300}}, 0.5, 0.6, 0.03}),
    [](const auto &info) { return std::string(info.param.name); });

TEST(AdaptiveAdmissionTest, slowQueriesBelowFullPressureAreAllAdmitted)
{
    AdaptiveAdmission admission;
    TimePoint now = TimePoint() + 1h;
    for (int i = 0; i < 500; ++i, now += 20ms) {
        EXPECT_TRUE(admission.admit(i % 3, queryWork, now));
        admission.record(i % 3, 0.9, now, now + 10ms);
    }
}

TEST(AdaptiveAdmissionTest, rareSlowQueriesCauseNoRefusals)
{
    AdaptiveAdmission admission;
    TimePoint now = TimePoint() + 1h;
    for (int i = 0; i < 500; ++i, now += 20ms) {
        EXPECT_TRUE(admission.admit(0, queryWork, now));
        admission.record(0, i % 100 == 50 ? 3 : 0.3, now, now + 10ms);
    }
}

TEST(AdaptiveAdmissionTest, unansweredQueriesAreLimited)
{
    AdaptiveAdmission admission;
    const TimePoint now = TimePoint() + 1h;
    int admitted = 0;
    for (int i = 0; i < 100; ++i)
        admitted += admission.admit(0, queryWork, now) ? 1 : 0;
    EXPECT_EQ(admitted, AdaptiveAdmissionRules().minUnansweredLimit);
    // A caller that disconnects frees its place.
    admission.record(0, std::nullopt, now, now);
    EXPECT_TRUE(admission.admit(0, queryWork, now));
}

class RetryAfterTest : public testing::TestWithParam<Milliseconds>
{ };

TEST_P(RetryAfterTest, isSpreadWithinThirdOfTimeLeft)
{
    AdmissionTable table([] { return std::make_unique<AdaptiveAdmission>(); });
    Route route;
    route.name = "r";
    route.query.shards = {"a", "b"};
    TimePoint now = TimePoint() + 1h;
    for (int i = 0; i < 200; ++i, now += 5ms) {
        table.recordRefusal(route, route.rank, now);
        if (i % 10 == 0)
            table.recordServed(route, route.rank, now);
    }
    std::set<Milliseconds> backoffs;
    for (int i = 0; i < 50; ++i)
        backoffs.insert(table.retryAfter(route, route.rank, GetParam(), now));
    EXPECT_LE(*backoffs.rbegin(), std::max<Milliseconds>(150ms, GetParam() / 3));
    EXPECT_GE(*backoffs.begin(), 150ms);
    EXPECT_TRUE(GetParam() < 1s || backoffs.size() > 20) << backoffs.size();
}

INSTANTIATE_TEST_SUITE_P(All, RetryAfterTest, testing::Values(100ms, 1000ms, 2500ms, 10000ms));

} // namespace
} // namespace gwt
