#include "relay/AttemptQueue.h"

#include "common/Random.h"

#include <gtest/gtest.h>

#include <set>

namespace gwt {
namespace {

using namespace std::chrono_literals;

const TimePoint start{1h};

QueuedAttempt makeAttempt(AttemptId id, const std::string &rank, TimePoint deadline = start + 1h)
{
    QueuedAttempt attempt;
    attempt.id = id;
    attempt.rank = rank;
    attempt.worth = rank == "urgent" ? 100 : rank == "desk" ? 10 : 1;
    attempt.floorShare = rank == "urgent" ? 0.5 : rank == "desk" ? 0.2 : 0.1;
    attempt.deadline = deadline;
    return attempt;
}

bool anyAttempt(const QueuedAttempt &)
{
    return true;
}

struct FloodCase
{
    const char *flooding;
    const char *floorRank;
    double floorShare;
    double slotTimeRatio; ///< slot time of floorRank relative to the flooding rank's
};

class AttemptQueueFloodTest : public testing::TestWithParam<FloodCase>
{ };

TEST_P(AttemptQueueFloodTest, rankGetsItsFloorShareUnderOverload)
{
    const FloodCase &flood = GetParam();
    AttemptQueue queue;
    const Duration floodSlotTime = 10ms;
    const Duration floorRankSlotTime
        = std::chrono::duration_cast<Duration>(floodSlotTime * flood.slotTimeRatio);
    AttemptId id = 1;
    for (int i = 0; i < 4000; ++i) {
        queue.push(makeAttempt(id++, flood.flooding));
        queue.push(makeAttempt(id++, flood.floorRank));
    }
    Duration granted{0};
    Duration total{0};
    std::vector<AttemptId> expired;
    for (int i = 0; i < 3000; ++i) {
        const auto attempt = queue.pop(start, anyAttempt, expired);
        const bool isFloorRank = attempt->rank == flood.floorRank;
        granted += isFloorRank ? floorRankSlotTime : Duration(0);
        total += isFloorRank ? floorRankSlotTime : floodSlotTime;
        queue.recordSlotTime(attempt->rank, isFloorRank ? floorRankSlotTime : floodSlotTime);
    }
    const double share = static_cast<double>(granted.count()) / static_cast<double>(total.count());
    EXPECT_GE(share, 0.9 * flood.floorShare);
}

INSTANTIATE_TEST_SUITE_P(Floods, AttemptQueueFloodTest,
                         testing::Values(FloodCase{"urgent", "background", 0.1, 1},
                                         FloodCase{"urgent", "background", 0.1, 8},
                                         FloodCase{"urgent", "desk", 0.2, 0.25},
                                         FloodCase{"desk", "background", 0.1, 1}));

TEST(AttemptQueueTest, unusedFloorShareIsAvailableToOtherRanks)
{
    AttemptQueue queue;
    std::vector<AttemptId> expired;
    for (AttemptId id = 1; id <= 100; ++id)
        queue.push(makeAttempt(id, "background"));
    for (AttemptId id = 1; id <= 100; ++id)
        EXPECT_EQ(queue.pop(start, anyAttempt, expired)->id, id);
}

TEST(AttemptQueueTest, priorityInversionsAreBoundedByFloorShares)
{
    AttemptQueue queue;
    std::vector<AttemptId> expired;
    for (AttemptId id = 1; id <= 1000; ++id) {
        queue.push(makeAttempt(2 * id, "urgent"));
        queue.push(makeAttempt(2 * id + 1, "background"));
    }
    int inverted = 0;
    for (int i = 1; i <= 1000; ++i) {
        inverted += queue.pop(start, anyAttempt, expired)->rank == "background" ? 1 : 0;
        EXPECT_LE(inverted, i / 10 + 1);
    }
}

TEST(AttemptQueueTest, extraAttemptPrecedesFirstAttemptsOfItsRankOnly)
{
    AttemptQueue queue;
    std::vector<AttemptId> expired;
    queue.push(makeAttempt(1, "urgent"));
    queue.push(makeAttempt(2, "desk"));
    QueuedAttempt extra = makeAttempt(3, "desk");
    extra.isExtra = true;
    queue.push(extra);
    for (const AttemptId expected : {1U, 3U, 2U})
        EXPECT_EQ(queue.pop(start, anyAttempt, expired)->id, expected);
}

TEST(AttemptQueueTest, ineligibleExtraAttemptDoesNotBlockOthers)
{
    AttemptQueue queue;
    std::vector<AttemptId> expired;
    QueuedAttempt extra = makeAttempt(1, "urgent");
    extra.isExtra = true;
    extra.excludedReplica = "only-free";
    queue.push(extra);
    queue.push(makeAttempt(2, "urgent"));
    const auto isEligible
        = [](const QueuedAttempt &attempt) { return attempt.excludedReplica.empty(); };
    EXPECT_EQ(queue.pop(start, isEligible, expired)->id, 2U);
    EXPECT_FALSE(queue.pop(start, isEligible, expired));
    EXPECT_EQ(queue.size(), 1U);
}

TEST(AttemptQueueTest, fifoIgnoresRanks)
{
    AttemptQueue queue(QueueOrder::Fifo);
    std::vector<AttemptId> expired;
    queue.push(makeAttempt(1, "background"));
    queue.push(makeAttempt(2, "urgent"));
    EXPECT_EQ(queue.pop(start, anyAttempt, expired)->id, 1U);
}

class AttemptQueueSeedTest : public testing::TestWithParam<int>
{ };

TEST_P(AttemptQueueSeedTest, eachAttemptEndsOnceAndNoneIsGrantedAfterItsDeadline)
{
    RandomEngine random(static_cast<std::uint64_t>(GetParam()));
    const std::array<std::string, 3> ranks = {"urgent", "desk", "background"};
    AttemptQueue queue;
    std::map<AttemptId, TimePoint> pending;
    std::vector<AttemptId> expired;
    TimePoint now = start;
    AttemptId next = 1;
    for (int step = 0; step < 20'000; ++step) {
        now += Milliseconds(random() % 3);
        const auto choice = random() % 10;
        if (choice < 5) {
            QueuedAttempt attempt
                = makeAttempt(next, ranks[random() % 3], now + Milliseconds(random() % 400));
            attempt.isExtra = random() % 20 == 0;
            pending[next++] = attempt.deadline;
            queue.push(std::move(attempt));
        } else if (choice < 6 && !pending.empty()) {
            const AttemptId id = pending.begin()->first;
            EXPECT_TRUE(queue.remove(id));
            EXPECT_FALSE(queue.remove(id));
            pending.erase(id);
        } else if (const auto attempt = queue.pop(now, anyAttempt, expired)) {
            EXPECT_GT(attempt->deadline, now);
            EXPECT_EQ(pending.erase(attempt->id), 1U);
        }
        for (const AttemptId id : expired) {
            EXPECT_LE(pending[id], now);
            EXPECT_EQ(pending.erase(id), 1U);
        }
        expired.clear();
        ASSERT_EQ(queue.size(), pending.size());
    }
}

INSTANTIATE_TEST_SUITE_P(Seeds, AttemptQueueSeedTest, testing::Range(1, 6));

} // namespace
} // namespace gwt
