#include "gateway/backends/BackendFleet.h"
#include "gateway/backends/BackendScore.h"
#include "gateway/forwarding/RecordMerge.h"
#include "gateway/policy/DeliveryTime.h"
#include "gateway/policy/HedgeTimer.h"
#include "gateway/policy/LogRateLimiter.h"
#include "gateway/policy/PartialAnswerPolicy.h"
#include "gateway/policy/QueueWait.h"
#include "gateway/policy/RetryBudget.h"
#include "gateway/policy/TransferTimeout.h"

#include <gtest/gtest.h>

#include <map>

namespace gwt {
namespace {

using namespace std::chrono_literals;

const TimePoint start{1h};

struct AnswerCase
{
    std::string name;
    QueryProgress progress; ///< in the order of its members
    QueryDecision expected;
};

class AnswerPolicyTest : public testing::TestWithParam<AnswerCase>
{ };

TEST_P(AnswerPolicyTest, decidesByProgressAndTime)
{
    EXPECT_EQ(PartialAnswerPolicy::decide(GetParam().progress), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    OneStragglerAmongManyShards, AnswerPolicyTest,
    testing::Values(
        AnswerCase{"complete", {20, 20, 0, 0.9, 150ms, 30ms, 8ms}, QueryDecision::Answer},
        AnswerCase{"waitsForTheRest", {20, 19, 1, 0.9, 150ms, 100ms, 8ms}, QueryDecision::Wait},
        AnswerCase{
            "answersBeforeTheTarget", {20, 18, 2, 0.9, 150ms, 142ms, 8ms}, QueryDecision::Answer},
        AnswerCase{
            "tooFewBeforeTheTarget", {20, 17, 3, 0.9, 150ms, 149ms, 8ms}, QueryDecision::Wait},
        AnswerCase{"firstChanceAfterTheTarget",
                   {20, 18, 2, 0.9, 150ms, 400ms, 8ms},
                   QueryDecision::Answer},
        AnswerCase{"noHope", {20, 10, 7, 0.9, 150ms, 20ms, 8ms}, QueryDecision::GiveUp},
        AnswerCase{"restFailed", {20, 18, 0, 0.9, 150ms, 20ms, 8ms}, QueryDecision::Answer},
        AnswerCase{"nothingAtAll", {20, 0, 0, 0, 150ms, 20ms, 8ms}, QueryDecision::GiveUp}),
    [](const auto &info) { return info.param.name; });

TEST(DeliveryTimeTest, theReserveFollowsTheSlowestRecentAnswerAndShrinksAgain)
{
    DeliveryTime delivery;
    const Duration calm = delivery.estimate();
    delivery.note(30ms);
    delivery.note(1ms);
    EXPECT_GE(delivery.estimate(), calm + 24ms);
    for (int i = 0; i < 60; ++i)
        delivery.note(1ms);
    EXPECT_LT(delivery.estimate(), calm + 3ms);
}

struct ShareCase
{
    std::size_t shards;
    double share;
    std::size_t expected;
};

class MinShardsTest : public testing::TestWithParam<ShareCase>
{ };

TEST_P(MinShardsTest, neverFallsBelowTheShare)
{
    EXPECT_EQ(PartialAnswerPolicy::minShards(GetParam().shards, GetParam().share),
              GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(Shares, MinShardsTest,
                         testing::Values(ShareCase{20, 0.9, 18}, ShareCase{20, 0.89, 18},
                                         ShareCase{20, 0.75, 15}, ShareCase{30, 0.89, 27},
                                         ShareCase{90, 0.95, 86}, ShareCase{1, 0.1, 1},
                                         ShareCase{20, 0, 1}, ShareCase{20, 1, 20}));

TEST(RepeatBudgetTest, repeatsStayWithinRatioAndShareOfTheExtra)
{
    RetryBudget budget({0.2, 70, 10s});
    int taken = 0;
    for (int i = 0; i < 1000; ++i) {
        const TimePoint now = start + i * 10ms;
        budget.recordFirstSend(now);
        taken += budget.take(RetryKind::AfterFailure, now, 7) ? 1 : 0;
    }
    EXPECT_LE(taken, static_cast<int>(0.2 * 1000 + 70.0 / 7));
    EXPECT_GE(taken, static_cast<int>(0.8 * (0.2 * 1000 + 70.0 / 7)));
}

TEST(RepeatBudgetTest, oldRequestsNoLongerAllowRepeats)
{
    RetryBudget budget({0.2, 0, 10s});
    for (int i = 0; i < 100; ++i)
        budget.recordFirstSend(start);
    EXPECT_TRUE(budget.take(RetryKind::AfterFailure, start, 1));
    EXPECT_FALSE(budget.take(RetryKind::AfterFailure, start + 12s, 1));
}

TEST(RepeatBudgetTest, newRulesHoldAtOnceForWhatTheWindowHolds)
{
    RetryBudget budget({0, 0, 10s});
    for (int i = 0; i < 100; ++i)
        budget.recordFirstSend(start);
    EXPECT_FALSE(budget.take(RetryKind::AfterFailure, start, 1));
    budget.setRules({0.2, 0, 10s});
    EXPECT_TRUE(budget.take(RetryKind::AfterFailure, start, 1));
    budget.setRules({0.2, 0, 5s});
    EXPECT_FALSE(budget.take(RetryKind::AfterFailure, start, 1))
        << "a new window length must reset the counts";
}

/// Traffic to one service, as one of seven processes sees it, while some servers refuse requests.
struct RefusalLoad
{
    static constexpr Duration s_step = 50ms; ///< with one first send each
    static constexpr int s_hedgeEvery = 4; ///< steps between late requests
    static constexpr int s_repairEvery = 10; ///< steps between refusals while servers refuse
};

struct RepeatCount
{
    int granted = 0;
    int denied = 0;
};

/// \brief Simulates \a time of traffic, with refusals if \a isRefusing, and counts the repeats.
std::map<RetryKind, RepeatCount> play(RetryBudget &budget, TimePoint &now, Duration time,
                                      bool isRefusing)
{
    std::map<RetryKind, RepeatCount> counts;
    const auto ask = [&](RetryKind kind) {
        ++(budget.take(kind, now, 7) ? counts[kind].granted : counts[kind].denied);
    };
    const TimePoint end = now + time;
    for (int step = 0; now < end; ++step, now += RefusalLoad::s_step) {
        budget.recordFirstSend(now);
        if (step % RefusalLoad::s_hedgeEvery == 0)
            ask(RetryKind::Hedge);
        if (isRefusing && step % RefusalLoad::s_repairEvery == 0)
            ask(RetryKind::AfterFailure);
    }
    return counts;
}

/// Least share of the fleet's budget that hedges can use: the hedge share, less the safety margin
/// and the current slice, is 0.6 * 0.85 * 10 / 11.
constexpr double leastForHedges = 0.46;
constexpr RetryBudgetRules sevenProcesses{0.2, 54, 10s};

TEST(RepeatBudgetTest, hedgesLeaveRoomForTheRepairsOfServersThatRefuse)
{
    RetryBudget budget(sevenProcesses);
    TimePoint now = start;
    const RepeatCount calm = play(budget, now, 20s, false)[RetryKind::Hedge];
    EXPECT_GE(calm.granted, leastForHedges * (0.2 * 400 + 2 * 54 / 7.0));
    const RepeatCount repairs = play(budget, now, 10s, true)[RetryKind::AfterFailure];
    EXPECT_EQ(repairs.denied, 0) << "the retries alone are well within the budget";
}

TEST(RepeatBudgetTest, hedgesReturnAWindowAfterTheLastRepair)
{
    RetryBudget budget(sevenProcesses);
    TimePoint now = start;
    const RepeatCount before = play(budget, now, 20s, false)[RetryKind::Hedge];
    play(budget, now, 20s, true);
    play(budget, now, 11s, false);
    const RepeatCount after = play(budget, now, 20s, false)[RetryKind::Hedge];
    EXPECT_GE(after.granted, before.granted - RefusalLoad::s_hedgeEvery);
}

TEST(RepeatBudgetTest, hedgesAndRepairsTogetherStayWithinTheAllowance)
{
    RetryBudget budget(sevenProcesses);
    TimePoint now = start;
    play(budget, now, 10s, true);
    for (int window = 0; window < 5; ++window) {
        auto counts = play(budget, now, 10s, true);
        EXPECT_LE(counts[RetryKind::Hedge].granted + counts[RetryKind::AfterFailure].granted,
                  0.2 * 200 + 54 / 7.0);
    }
}

TEST(RepeatBudgetTest, aSmallAllowanceIsNotSplit)
{
    RetryBudget budget({0.2, 170, 10s});
    constexpr int processes = 66; // 0.2 * 7 requests + 170 / 66 allow 3 repeats
    int hedges = 0;
    for (int i = 0; i < 7; ++i) {
        budget.recordFirstSend(start + i * 1s);
        EXPECT_TRUE(i > 0 || budget.take(RetryKind::AfterFailure, start, processes));
        hedges += budget.take(RetryKind::Hedge, start + i * 1s, processes) ? 1 : 0;
    }
    EXPECT_EQ(hedges, 2) << "hedges get all that the retry has left";
}

TEST(RepeatBudgetTest, theBaselineLetsHedgesStarveRepairs)
{
    RetryBudgetRules rules = sevenProcesses;
    rules.hedgeShare = 1;
    RetryBudget budget(rules);
    TimePoint now = start;
    play(budget, now, 20s, false);
    EXPECT_GT(play(budget, now, 10s, true)[RetryKind::AfterFailure].denied, 0);
}

TEST(HedgeTimerTest, theDelayFollowsTheLegTimesWithinTheTarget)
{
    HedgeTimer timer;
    EXPECT_EQ(timer.delay("r", 100ms), 45ms) << "the upper bound applies without samples";
    for (int i = 0; i < 200; ++i)
        timer.note("r", 20ms);
    EXPECT_NEAR(std::chrono::duration<double>(timer.delay("r", 100ms)).count(), 0.021, 0.002);
    EXPECT_EQ(timer.delay("r", 1000ms), 120ms) << "the lower bound is a share of the target";
}

TEST(BackendScoreTest, aServerThatIsSilentNowCostsMoreThanABusyOne)
{
    BackendScore score;
    const Duration busy = score.expected(20ms, 2, 2, 30ms, false, start);
    const Duration paused = score.expected(20ms, 1, 2, 150ms, false, start);
    EXPECT_GT(paused, busy);
}

TEST(BackendScoreTest, slownessIsLearnedAndForgiven)
{
    BackendScore score;
    for (int i = 0; i < 10; ++i)
        score.note(SendResult::Served, 200ms, 20ms, start);
    EXPECT_GT(score.slowness(start), 5);
    EXPECT_LT(score.slowness(start + 3s), 1.5);
}

TEST(BackendScoreTest, failuresCostAndAServerThatCannotBeReachedIsLeftAlone)
{
    BackendScore grey;
    for (int i = 0; i < 5; ++i)
        grey.note(SendResult::Failed, 1ms, 20ms, start);
    EXPECT_GT(grey.expected(20ms, 0, 2, 0ms, false, start), 150ms)
        << "a server that fails fast must not be scored as fast";
    BackendScore down;
    down.note(SendResult::Unreachable, 0ms, 20ms, start);
    EXPECT_TRUE(down.isPaused(start + 300ms));
    EXPECT_FALSE(down.isPaused(start + 500ms));
}

TEST(LogBudgetTest, aFloodOfServedRequestsTakesNoLineOfAFailure)
{
    LogRateLimiter budget;
    int served = 0;
    for (int i = 0; i < 10000; ++i)
        served += budget.allowServed(start) ? 1 : 0;
    EXPECT_EQ(served, static_cast<int>(LogRateLimiter::s_servedPerSecond));
    EXPECT_TRUE(budget.allowUnserved(start));
    EXPECT_FALSE(budget.allowServed(start));
    EXPECT_TRUE(budget.allowServed(start + 1s));
}

struct ConnectionCase
{
    int maxConnections;
    int fleetSize;
    int expected;
};

class ConnectionShareTest : public testing::TestWithParam<ConnectionCase>
{ };

TEST_P(ConnectionShareTest, theFleetTogetherStaysWithinTheServersLimit)
{
    const ConnectionCase &each = GetParam();
    EXPECT_EQ(connectionShare(each.maxConnections, each.fleetSize), each.expected);
}

INSTANTIATE_TEST_SUITE_P(Fleets, ConnectionShareTest,
                         testing::Values(ConnectionCase{26, 7, 2}, ConnectionCase{25, 6, 3},
                                         ConnectionCase{100, 7, 13}, ConnectionCase{55, 66, 1},
                                         ConnectionCase{26, 0, 25}, ConnectionCase{0, 7, 1}));

std::string record(char first, char last)
{
    std::string bytes(16, 'm');
    bytes.front() = first;
    bytes.back() = last;
    return bytes;
}

struct MergeCase
{
    std::string name;
    std::vector<std::string> parts;
    std::size_t count;
    std::string expected;
};

class RecordMergeTest : public testing::TestWithParam<MergeCase>
{ };

TEST_P(RecordMergeTest, theGreatestRecordsComeFirst)
{
    const std::vector<std::string_view> parts(GetParam().parts.begin(), GetParam().parts.end());
    EXPECT_EQ(FixedSizeMerge(16).merge(parts, GetParam().count), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    Parts, RecordMergeTest,
    testing::Values(
        MergeCase{"none", {}, 5, ""},
        MergeCase{"fewerThanAsked", {record('a', '1')}, 5, record('a', '1')},
        MergeCase{"acrossParts",
                  {record('a', '1') + record('c', '1'), record('b', '1')},
                  2,
                  record('c', '1') + record('b', '1')},
        MergeCase{"equalRecordsAllCount",
                  {record('c', '1'), record('c', '1') + record('a', '1')},
                  2,
                  record('c', '1') + record('c', '1')},
        MergeCase{"remainderIsNoRecord", {record('a', '1') + "zzz"}, 5, record('a', '1')},
        MergeCase{
            "bytesAreUnsigned", {record('a', '1'), record('\xff', '1')}, 1, record('\xff', '1')},
        MergeCase{"lastByteDecides", {record('a', '1'), record('a', '2')}, 1, record('a', '2')}),
    [](const auto &info) { return info.param.name; });

struct QueueWaitCase
{
    QueueAhead ahead;
    Duration wait;
};

class QueueWaitTest : public testing::TestWithParam<QueueWaitCase>
{ };

TEST_P(QueueWaitTest, countsRoundsOfTheConnections)
{
    EXPECT_EQ(expectedWait(GetParam().ahead, 100ms), GetParam().wait);
}

// Legs queued ahead, legs in flight, connections.
INSTANTIATE_TEST_SUITE_P(
    All, QueueWaitTest,
    testing::Values(QueueWaitCase{{0, 0, 1}, 0ms}, QueueWaitCase{{0, 1, 1}, 100ms},
                    QueueWaitCase{{2, 1, 1}, 300ms}, QueueWaitCase{{3, 0, 4}, 0ms},
                    QueueWaitCase{{3, 4, 4}, 100ms}, QueueWaitCase{{4, 4, 4}, 200ms},
                    QueueWaitCase{{5, 0, 0}, 500ms}));

struct PaceCase
{
    const char *name;
    Duration between; ///< interval between pieces
    std::size_t bytes; ///< size of a piece
    Duration brokenOffAt; ///< since the start; the simulated time if it is not aborted
};

class TransferPaceTest : public testing::TestWithParam<PaceCase>
{ };

TEST_P(TransferPaceTest, boundsEachPauseAndTheWhole)
{
    const Duration longest = 600s;
    TransferTimeout pace(15s, start);
    TimePoint now = start;
    while (now + GetParam().between < pace.expiry() && now - start < longest) {
        now += GetParam().between;
        pace.note(GetParam().bytes, now);
    }
    EXPECT_EQ(std::min(pace.expiry() - start, longest), GetParam().brokenOffAt);
}

INSTANTIATE_TEST_SUITE_P(CallersThatHoldAConnection, TransferPaceTest,
                         testing::Values(PaceCase{"nothingAtAll", 20s, 1, 15s},
                                         PaceCase{"aByteNowAndThen", 10s, 1, 15s + 1ms},
                                         PaceCase{"aLongPause", 16s, 100'000, 15s},
                                         PaceCase{"halfTheLeastRate", 1s, 500, 29s},
                                         PaceCase{"slowButSteady", 1s, 1000, 600s},
                                         PaceCase{"piecesWithLongPauses", 10s, 10'000, 600s}),
                         [](const auto &info) { return info.param.name; });

} // namespace
} // namespace gwt
