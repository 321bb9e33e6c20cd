#include "common/LogRateLimiter.h"
#include "gateway/backends/BackendFleet.h"
#include "gateway/backends/BackendScore.h"
#include "gateway/forwarding/RecordMerge.h"
#include "gateway/policy/DeliveryTime.h"
#include "gateway/policy/HedgeTimer.h"
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

class PartialAnswerPolicyTest : public testing::TestWithParam<AnswerCase>
{ };

TEST_P(PartialAnswerPolicyTest, decidesFromProgressAndTime)
{
    EXPECT_EQ(PartialAnswerPolicy::decide(GetParam().progress), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    OneStragglerAmongManyShards, PartialAnswerPolicyTest,
    testing::Values(
        AnswerCase{"complete", {20, 20, 0, 0.9, 150ms, 30ms, 8ms}, QueryDecision::Answer},
        AnswerCase{
            "waitsForRemainingShards", {20, 19, 1, 0.9, 150ms, 100ms, 8ms}, QueryDecision::Wait},
        AnswerCase{"answersPartiallyBeforeTarget",
                   {20, 18, 2, 0.9, 150ms, 142ms, 8ms},
                   QueryDecision::Answer},
        AnswerCase{"waitsBelowMinimum", {20, 17, 3, 0.9, 150ms, 149ms, 8ms}, QueryDecision::Wait},
        AnswerCase{"minimumReachedAfterTarget",
                   {20, 18, 2, 0.9, 150ms, 400ms, 8ms},
                   QueryDecision::Answer},
        AnswerCase{"minimumUnreachable", {20, 10, 7, 0.9, 150ms, 20ms, 8ms}, QueryDecision::GiveUp},
        AnswerCase{
            "remainingShardsFailed", {20, 18, 0, 0.9, 150ms, 20ms, 8ms}, QueryDecision::Answer},
        AnswerCase{"noShardLeft", {20, 0, 0, 0, 150ms, 20ms, 8ms}, QueryDecision::GiveUp}),
    [](const auto &info) { return info.param.name; });

TEST(DeliveryTimeTest, estimateFollowsSlowestRecentAnswerAndDecays)
{
    DeliveryTime delivery;
    const Duration initial = delivery.estimate();
    delivery.record(30ms);
    delivery.record(1ms);
    EXPECT_GE(delivery.estimate(), initial + 24ms);
    for (int i = 0; i < 60; ++i)
        delivery.record(1ms);
    EXPECT_LT(delivery.estimate(), initial + 3ms);
}

struct ShareCase
{
    std::size_t shards;
    double share;
    std::size_t expected;
};

class MinShardsTest : public testing::TestWithParam<ShareCase>
{ };

TEST_P(MinShardsTest, roundsUpToShare)
{
    EXPECT_EQ(PartialAnswerPolicy::minShards(GetParam().shards, GetParam().share),
              GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(Shares, MinShardsTest,
                         testing::Values(ShareCase{20, 0.9, 18}, ShareCase{20, 0.89, 18},
                                         ShareCase{20, 0.75, 15}, ShareCase{30, 0.89, 27},
                                         ShareCase{90, 0.95, 86}, ShareCase{1, 0.1, 1},
                                         ShareCase{20, 0, 1}, ShareCase{20, 1, 20}));

TEST(RetryBudgetTest, retriesStayWithinRatioAndShareOfExtra)
{
    RetryBudget budget({0.2, 70, 10s});
    int taken = 0;
    for (int i = 0; i < 1000; ++i) {
        const TimePoint now = start + i * 10ms;
        budget.recordFirstSend(now);
        taken += budget.tryAcquire(RetryKind::AfterFailure, now, 7) ? 1 : 0;
    }
    EXPECT_LE(taken, static_cast<int>(0.2 * 1000 + 70.0 / 7));
    EXPECT_GE(taken, static_cast<int>(0.8 * (0.2 * 1000 + 70.0 / 7)));
}

TEST(RetryBudgetTest, firstSendsOutsideWindowAllowNoRetries)
{
    RetryBudget budget({0.2, 0, 10s});
    for (int i = 0; i < 100; ++i)
        budget.recordFirstSend(start);
    EXPECT_TRUE(budget.tryAcquire(RetryKind::AfterFailure, start, 1));
    EXPECT_FALSE(budget.tryAcquire(RetryKind::AfterFailure, start + 12s, 1));
}

TEST(RetryBudgetTest, newRulesApplyToCurrentWindow)
{
    RetryBudget budget({0, 0, 10s});
    for (int i = 0; i < 100; ++i)
        budget.recordFirstSend(start);
    EXPECT_FALSE(budget.tryAcquire(RetryKind::AfterFailure, start, 1));
    budget.setRules({0.2, 0, 10s});
    EXPECT_TRUE(budget.tryAcquire(RetryKind::AfterFailure, start, 1));
    budget.setRules({0.2, 0, 5s});
    EXPECT_FALSE(budget.tryAcquire(RetryKind::AfterFailure, start, 1))
        << "a new window length must reset the counts";
}

/// Traffic to one service, as one of seven processes sees it, while some servers refuse requests.
struct RefusalLoad
{
    static constexpr Duration s_step = 50ms; ///< with one first send each
    static constexpr int s_hedgeEvery = 4; ///< steps between late requests
    static constexpr int s_refusalEvery = 10; ///< steps between refusals while servers refuse
};

struct RetryCount
{
    int granted = 0;
    int denied = 0;
};

/// \brief Simulates \a time of traffic, with refusals if \a isRefusing, and counts hedges and
/// retries.
std::map<RetryKind, RetryCount> simulateTraffic(RetryBudget &budget, TimePoint &now, Duration time,
                                                bool isRefusing)
{
    std::map<RetryKind, RetryCount> counts;
    const auto request = [&](RetryKind kind) {
        ++(budget.tryAcquire(kind, now, 7) ? counts[kind].granted : counts[kind].denied);
    };
    const TimePoint end = now + time;
    for (int step = 0; now < end; ++step, now += RefusalLoad::s_step) {
        budget.recordFirstSend(now);
        if (step % RefusalLoad::s_hedgeEvery == 0)
            request(RetryKind::Hedge);
        if (isRefusing && step % RefusalLoad::s_refusalEvery == 0)
            request(RetryKind::AfterFailure);
    }
    return counts;
}

/// Least share of the fleet's budget that hedges can use: the hedge share, less the safety margin
/// and the current slice, is 0.6 * 0.85 * 10 / 11.
constexpr double minHedgeShare = 0.46;
constexpr RetryBudgetRules sevenProcessRules{0.2, 54, 10s};

TEST(RetryBudgetTest, hedgesLeaveBudgetForRetriesAfterRefusals)
{
    RetryBudget budget(sevenProcessRules);
    TimePoint now = start;
    const RetryCount hedges = simulateTraffic(budget, now, 20s, false)[RetryKind::Hedge];
    EXPECT_GE(hedges.granted, minHedgeShare * (0.2 * 400 + 2 * 54 / 7.0));
    const RetryCount retries = simulateTraffic(budget, now, 10s, true)[RetryKind::AfterFailure];
    EXPECT_EQ(retries.denied, 0) << "the retries alone are well within the budget";
}

TEST(RetryBudgetTest, hedgesRecoverOneWindowAfterLastRetry)
{
    RetryBudget budget(sevenProcessRules);
    TimePoint now = start;
    const RetryCount before = simulateTraffic(budget, now, 20s, false)[RetryKind::Hedge];
    simulateTraffic(budget, now, 20s, true);
    simulateTraffic(budget, now, 11s, false);
    const RetryCount after = simulateTraffic(budget, now, 20s, false)[RetryKind::Hedge];
    EXPECT_GE(after.granted, before.granted - RefusalLoad::s_hedgeEvery);
}

TEST(RetryBudgetTest, hedgesAndRetriesTogetherStayWithinBudget)
{
    RetryBudget budget(sevenProcessRules);
    TimePoint now = start;
    simulateTraffic(budget, now, 10s, true);
    for (int window = 0; window < 5; ++window) {
        auto counts = simulateTraffic(budget, now, 10s, true);
        EXPECT_LE(counts[RetryKind::Hedge].granted + counts[RetryKind::AfterFailure].granted,
                  0.2 * 200 + 54 / 7.0);
    }
}

TEST(RetryBudgetTest, smallBudgetIsNotSplit)
{
    RetryBudget budget({0.2, 170, 10s});
    constexpr int processes = 66; // 0.2 * 7 requests + 170 / 66 allow 3 retries
    int hedges = 0;
    for (int i = 0; i < 7; ++i) {
        budget.recordFirstSend(start + i * 1s);
        EXPECT_TRUE(i > 0 || budget.tryAcquire(RetryKind::AfterFailure, start, processes));
        hedges += budget.tryAcquire(RetryKind::Hedge, start + i * 1s, processes) ? 1 : 0;
    }
    EXPECT_EQ(hedges, 2) << "hedges get all that the retry has left";
}

TEST(RetryBudgetTest, baselineLetsHedgesStarveRetries)
{
    RetryBudgetRules rules = sevenProcessRules;
    rules.hedgeShare = 1;
    RetryBudget budget(rules);
    TimePoint now = start;
    simulateTraffic(budget, now, 20s, false);
    EXPECT_GT(simulateTraffic(budget, now, 10s, true)[RetryKind::AfterFailure].denied, 0);
}

TEST(HedgeTimerTest, delayFollowsLatenciesWithinTargetBounds)
{
    HedgeTimer timer;
    EXPECT_EQ(timer.delay("r", 100ms), 45ms) << "the upper bound applies without samples";
    for (int i = 0; i < 200; ++i)
        timer.record("r", 20ms);
    EXPECT_NEAR(std::chrono::duration<double>(timer.delay("r", 100ms)).count(), 0.021, 0.002);
    EXPECT_EQ(timer.delay("r", 1000ms), 120ms) << "the lower bound is a share of the target";
}

TEST(BackendScoreTest, unresponsiveServerCostsMoreThanBusyOne)
{
    BackendScore score;
    const Duration busy = score.expected(20ms, 2, 2, 30ms, false, start);
    const Duration paused = score.expected(20ms, 1, 2, 150ms, false, start);
    EXPECT_GT(paused, busy);
}

TEST(BackendScoreTest, slownessIsTrackedAndDecays)
{
    BackendScore score;
    for (int i = 0; i < 10; ++i)
        score.record(SendResult::Served, 200ms, 20ms, start);
    EXPECT_GT(score.slowness(start), 5);
    EXPECT_LT(score.slowness(start + 3s), 1.5);
}

TEST(BackendScoreTest, failuresRaiseCostAndUnreachableServerIsPaused)
{
    BackendScore failing;
    for (int i = 0; i < 5; ++i)
        failing.record(SendResult::Failed, 1ms, 20ms, start);
    EXPECT_GT(failing.expected(20ms, 0, 2, 0ms, false, start), 150ms)
        << "a server that fails fast must not be scored as fast";
    BackendScore down;
    down.record(SendResult::Unreachable, 0ms, 20ms, start);
    EXPECT_TRUE(down.isInBackoff(start + 300ms));
    EXPECT_FALSE(down.isInBackoff(start + 500ms));
}

TEST(LogRateLimiterTest, floodOfServedRequestsSuppressesNoFailureLine)
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

TEST_P(ConnectionShareTest, sharesStayWithinServerLimit)
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

TEST_P(RecordMergeTest, returnsGreatestRecordsFirst)
{
    const std::vector<std::string_view> parts(GetParam().parts.begin(), GetParam().parts.end());
    EXPECT_EQ(FixedSizeMerge(16).merge(parts, GetParam().count), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    Parts, RecordMergeTest,
    testing::Values(
        MergeCase{"none", {}, 5, ""},
        MergeCase{"fewerThanRequested", {record('a', '1')}, 5, record('a', '1')},
        MergeCase{"acrossParts",
                  {record('a', '1') + record('c', '1'), record('b', '1')},
                  2,
                  record('c', '1') + record('b', '1')},
        MergeCase{"equalRecordsAreKept",
                  {record('c', '1'), record('c', '1') + record('a', '1')},
                  2,
                  record('c', '1') + record('c', '1')},
        MergeCase{"trailingBytesAreIgnored", {record('a', '1') + "zzz"}, 5, record('a', '1')},
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

TEST_P(QueueWaitTest, countsRoundsOverConnections)
{
    EXPECT_EQ(expectedWait(GetParam().ahead, 100ms), GetParam().wait);
}

// Requests queued ahead, requests in flight, connections.
INSTANTIATE_TEST_SUITE_P(
    All, QueueWaitTest,
    testing::Values(QueueWaitCase{{0, 0, 1}, 0ms}, QueueWaitCase{{0, 1, 1}, 100ms},
                    QueueWaitCase{{2, 1, 1}, 300ms}, QueueWaitCase{{3, 0, 4}, 0ms},
                    QueueWaitCase{{3, 4, 4}, 100ms}, QueueWaitCase{{4, 4, 4}, 200ms},
                    QueueWaitCase{{5, 0, 0}, 500ms}));

struct TransferCase
{
    const char *name;
    Duration between; ///< interval between pieces
    std::size_t bytes; ///< size of a piece
    Duration abortedAt; ///< since the start; the simulated time if it is not aborted
};

class TransferTimeoutTest : public testing::TestWithParam<TransferCase>
{ };

TEST_P(TransferTimeoutTest, limitsPausesAndAverageRate)
{
    const Duration simulatedTime = 600s;
    TransferTimeout transferTimeout(15s, start);
    TimePoint now = start;
    while (now + GetParam().between < transferTimeout.expiry() && now - start < simulatedTime) {
        now += GetParam().between;
        transferTimeout.record(GetParam().bytes, now);
    }
    EXPECT_EQ(std::min(transferTimeout.expiry() - start, simulatedTime), GetParam().abortedAt);
}

INSTANTIATE_TEST_SUITE_P(CallersThatHoldAConnection, TransferTimeoutTest,
                         testing::Values(TransferCase{"noBytes", 20s, 1, 15s},
                                         TransferCase{"occasionalBytes", 10s, 1, 15s + 1ms},
                                         TransferCase{"longPause", 16s, 100'000, 15s},
                                         TransferCase{"halfMinRate", 1s, 500, 29s},
                                         TransferCase{"slowButSteady", 1s, 1000, 600s},
                                         TransferCase{"burstsWithLongPauses", 10s, 10'000, 600s}),
                         [](const auto &info) { return info.param.name; });

} // namespace
} // namespace gwt
