#include "gateway/policy/AdaptiveAdmission.h"
#include "gateway/policy/AdmissionTable.h"

#include <gtest/gtest.h>

#include <queue>

namespace gwt {
namespace {

using namespace std::chrono_literals;

constexpr Duration target = 100ms;
constexpr double halfTimeShare = 0.5; ///< share of the target at which the pressure is 1
/// Work of one query; the simulated shards do one second of work per second.
constexpr Duration queryWork = 10ms;

/// \brief Traffic of one rank in queries per second, normally and during a flood.
struct Traffic
{
    int rank = 0;
    double calm = 0;
    double flood = 0;
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
    std::map<int, RankOutcome> play(const std::vector<Traffic> &traffic, bool isFlooded,
                                    Duration begin, Duration end)
    {
        std::map<int, RankOutcome> outcomes;
        for (Duration at = begin; at < end; at += 1ms) {
            const TimePoint now = TimePoint() + 1h + at;
            report(now);
            for (const Traffic &each : traffic) {
                double &due = m_due[each.rank];
                for (due += (isFlooded ? each.flood : each.calm) / 1000; due >= 1; due -= 1)
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
        m_free = std::max(m_free, now) + queryWork;
        m_running.push({m_free, now, rank});
        if (m_free - now <= target)
            ++outcome.inTarget;
    }

    void report(TimePoint now)
    {
        while (!m_running.empty() && m_running.top().done <= now) {
            const Query query = m_running.top();
            m_running.pop();
            const double pressure = std::chrono::duration<double>(query.done - query.arrived)
                / std::chrono::duration<double>(target * halfTimeShare);
            m_control.note(query.rank, pressure, query.arrived, now);
        }
    }

    AdmissionControl &m_control;
    std::map<int, double> m_due;
    std::priority_queue<Query> m_running;
    TimePoint m_free;
};

struct FloodCase
{
    const char *name;
    std::vector<Traffic> traffic;
    double usefulShare; ///< least share of the capacity used for queries in target, in the flood
    double urgentShare; ///< least share of the queries of rank 0 in target, in the flood
    double lesserShare; ///< least share of the queries of rank 1 in target, in the flood
};

class AdmissionFloodTest : public testing::TestWithParam<FloodCase>
{ };

TEST_P(AdmissionFloodTest, whatIsAdmittedMakesItsTarget)
{
    AdaptiveAdmission admission;
    QueueModel model(admission);
    const auto before = model.play(GetParam().traffic, false, 0s, 5s);
    for (const auto &[rank, outcome] : before)
        EXPECT_EQ(outcome.refused, 0) << "before the flood, rank " << rank;
    const auto flood = model.play(GetParam().traffic, true, 5s, 15s);
    int inTarget = 0;
    for (const auto &[rank, outcome] : flood)
        inTarget += outcome.inTarget;
    const double capacity = 10s / queryWork;
    EXPECT_GE(inTarget / capacity, GetParam().usefulShare);
    EXPECT_GE(flood.at(0).share(), GetParam().urgentShare);
    EXPECT_GE(flood.at(1).share(), GetParam().lesserShare);
    // Two seconds after the end of the flood no query is refused any more.
    model.play(GetParam().traffic, false, 15s, 17s);
    for (const auto &[rank, outcome] : model.play(GetParam().traffic, false, 17s, 20s))
        EXPECT_EQ(outcome.refused, 0) << "after the flood, rank " << rank;
    EXPECT_FALSE(admission.isBounded());
}

TEST_P(AdmissionFloodTest, theBaselineMissesMostTargets)
{
    OpenAdmissionControl open;
    QueueModel model(open);
    model.play(GetParam().traffic, false, 0s, 5s);
    const auto flood = model.play(GetParam().traffic, true, 5s, 15s);
    int inTarget = 0;
    for (const auto &[rank, outcome] : flood)
        inTarget += outcome.inTarget;
    EXPECT_LT(inTarget / (10s / queryWork), 0.1);
}

// The capacity is 100 queries per second; rank 0 normally sends 15 and rank 1 sends 30. At least
// half of the capacity must stay useful in a flood; each rank is guaranteed 0.12 of the capacity.
INSTANTIATE_TEST_SUITE_P(
    All, AdmissionFloodTest,
    testing::Values(FloodCase{"lesserRank", {{0, 15, 15}, {1, 30, 200}}, 0.5, 0.85, 0.15},
                    FloodCase{"urgentRank", {{0, 15, 250}, {1, 30, 30}}, 0.5, 0.15, 0.1},
                    FloodCase{"bothRanks", {{0, 15, 60}, {1, 30, 300}}, 0.5, 0.6, 0.03}),
    [](const auto &info) { return std::string(info.param.name); });

TEST(PressureAdmissionTest, slowQueriesWithoutPressureRefuseNobody)
{
    AdaptiveAdmission admission;
    TimePoint now = TimePoint() + 1h;
    for (int i = 0; i < 500; ++i, now += 20ms) {
        EXPECT_TRUE(admission.admit(i % 3, queryWork, now));
        admission.note(i % 3, 0.9, now, now + 10ms);
    }
}

TEST(PressureAdmissionTest, oneSlowQueryAloneRefusesNobody)
{
    AdaptiveAdmission admission;
    TimePoint now = TimePoint() + 1h;
    for (int i = 0; i < 500; ++i, now += 20ms) {
        EXPECT_TRUE(admission.admit(0, queryWork, now));
        admission.note(0, i % 100 == 50 ? 3 : 0.3, now, now + 10ms);
    }
}

TEST(PressureAdmissionTest, queriesWithoutAnAnswerAreBounded)
{
    AdaptiveAdmission admission;
    const TimePoint now = TimePoint() + 1h;
    int admitted = 0;
    for (int i = 0; i < 100; ++i)
        admitted += admission.admit(0, queryWork, now) ? 1 : 0;
    EXPECT_EQ(admitted, AdaptiveAdmissionRules().minUnansweredLimit);
    // A caller that disconnects frees its place.
    admission.note(0, std::nullopt, now, now);
    EXPECT_TRUE(admission.admit(0, queryWork, now));
}

class RetryAfterTest : public testing::TestWithParam<Milliseconds>
{ };

TEST_P(RetryAfterTest, isSpreadWithinAThirdOfTheTimeLeft)
{
    AdmissionTable table([] { return std::make_unique<AdaptiveAdmission>(); });
    Route route;
    route.name = "r";
    route.query.shards = {"a", "b"};
    TimePoint now = TimePoint() + 1h;
    for (int i = 0; i < 200; ++i, now += 5ms) {
        table.recordRefusal(route, now);
        if (i % 10 == 0)
            table.recordServed(route, now);
    }
    std::set<Milliseconds> advice;
    for (int i = 0; i < 50; ++i)
        advice.insert(table.retryAfter(route, GetParam(), now));
    EXPECT_LE(*advice.rbegin(), std::max<Milliseconds>(150ms, GetParam() / 3));
    EXPECT_GE(*advice.begin(), 150ms);
    EXPECT_TRUE(GetParam() < 1s || advice.size() > 20) << advice.size();
}

INSTANTIATE_TEST_SUITE_P(All, RetryAfterTest, testing::Values(100ms, 1000ms, 2500ms, 10000ms));

} // namespace
} // namespace gwt
