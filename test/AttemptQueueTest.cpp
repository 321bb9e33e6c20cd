#include "relay/AttemptQueue.h"

#include "common/Random.h"

#include <gtest/gtest.h>

#include <set>

namespace gwt {
namespace {

using namespace std::chrono_literals;

const TimePoint start{1h};

QueuedAttempt makeLeg(AttemptId id, const std::string &rank, TimePoint deadline = start + 1h)
{
    QueuedAttempt leg;
    leg.id = id;
    leg.rank = rank;
    leg.worth = rank == "urgent" ? 100 : rank == "desk" ? 10 : 1;
    leg.floorShare = rank == "urgent" ? 0.5 : rank == "desk" ? 0.2 : 0.1;
    leg.deadline = deadline;
    return leg;
}

bool anywhere(const QueuedAttempt &)
{
    return true;
}

struct FloodCase
{
    const char *flooding;
    const char *kept;
    double floorShare;
    double slotTimeRatio; ///< of the kept rank's legs to the flooding rank's
};

class LegQueueFloodTest : public testing::TestWithParam<FloodCase>
{ };

TEST_P(LegQueueFloodTest, aRankKeepsItsFloorOfSlotTime)
{
    const FloodCase &flood = GetParam();
    AttemptQueue queue;
    const Duration floodTime = 10ms;
    const Duration keptTime = std::chrono::duration_cast<Duration>(floodTime * flood.slotTimeRatio);
    AttemptId id = 1;
    for (int i = 0; i < 4000; ++i) {
        queue.push(makeLeg(id++, flood.flooding));
        queue.push(makeLeg(id++, flood.kept));
    }
    Duration kept{0};
    Duration total{0};
    std::vector<AttemptId> expired;
    for (int i = 0; i < 3000; ++i) {
        const auto leg = queue.pop(start, anywhere, expired);
        const bool isKept = leg->rank == flood.kept;
        kept += isKept ? keptTime : Duration(0);
        total += isKept ? keptTime : floodTime;
        queue.recordSlotTime(leg->rank, isKept ? keptTime : floodTime);
    }
    const double share = static_cast<double>(kept.count()) / static_cast<double>(total.count());
    EXPECT_GE(share, 0.9 * flood.floorShare);
}

INSTANTIATE_TEST_SUITE_P(Floods, LegQueueFloodTest,
                         testing::Values(FloodCase{"urgent", "background", 0.1, 1},
                                         FloodCase{"urgent", "background", 0.1, 8},
                                         FloodCase{"urgent", "desk", 0.2, 0.25},
                                         FloodCase{"desk", "background", 0.1, 1}));

TEST(LegQueueTest, anUnusedFloorIsLent)
{
    AttemptQueue queue;
    std::vector<AttemptId> expired;
    for (AttemptId id = 1; id <= 100; ++id)
        queue.push(makeLeg(id, "background"));
    for (AttemptId id = 1; id <= 100; ++id)
        EXPECT_EQ(queue.pop(start, anywhere, expired)->id, id);
}

TEST(LegQueueTest, inversionsOfRankAreBoundedByTheFloors)
{
    AttemptQueue queue;
    std::vector<AttemptId> expired;
    for (AttemptId id = 1; id <= 1000; ++id) {
        queue.push(makeLeg(2 * id, "urgent"));
        queue.push(makeLeg(2 * id + 1, "background"));
    }
    int inverted = 0;
    for (int i = 1; i <= 1000; ++i) {
        inverted += queue.pop(start, anywhere, expired)->rank == "background" ? 1 : 0;
        EXPECT_LE(inverted, i / 10 + 1);
    }
}

TEST(LegQueueTest, anExtraLegGoesBeforeNewWorkOfItsRankOnly)
{
    AttemptQueue queue;
    std::vector<AttemptId> expired;
    queue.push(makeLeg(1, "urgent"));
    queue.push(makeLeg(2, "desk"));
    QueuedAttempt extra = makeLeg(3, "desk");
    extra.isExtra = true;
    queue.push(extra);
    for (const AttemptId expected : {1U, 3U, 2U})
        EXPECT_EQ(queue.pop(start, anywhere, expired)->id, expected);
}

TEST(LegQueueTest, anExtraLegThatCannotBePlacedBlocksNothing)
{
    AttemptQueue queue;
    std::vector<AttemptId> expired;
    QueuedAttempt extra = makeLeg(1, "urgent");
    extra.isExtra = true;
    extra.excludedReplica = "only-free";
    queue.push(extra);
    queue.push(makeLeg(2, "urgent"));
    const auto isEligible = [](const QueuedAttempt &leg) { return leg.excludedReplica.empty(); };
    EXPECT_EQ(queue.pop(start, isEligible, expired)->id, 2U);
    EXPECT_FALSE(queue.pop(start, isEligible, expired));
    EXPECT_EQ(queue.size(), 1U);
}

TEST(LegQueueTest, fifoIgnoresRanks)
{
    AttemptQueue queue(QueueOrder::Fifo);
    std::vector<AttemptId> expired;
    queue.push(makeLeg(1, "background"));
    queue.push(makeLeg(2, "urgent"));
    EXPECT_EQ(queue.pop(start, anywhere, expired)->id, 1U);
}

class LegQueueSeedTest : public testing::TestWithParam<int>
{ };

TEST_P(LegQueueSeedTest, eachLegEndsOnceAndNoneIsGrantedLate)
{
    RandomEngine random(static_cast<std::uint64_t>(GetParam()));
    const std::array<std::string, 3> ranks = {"urgent", "desk", "background"};
    AttemptQueue queue;
    std::map<AttemptId, TimePoint> open;
    std::vector<AttemptId> expired;
    TimePoint now = start;
    AttemptId next = 1;
    for (int step = 0; step < 20'000; ++step) {
        now += Milliseconds(random() % 3);
        const auto choice = random() % 10;
        if (choice < 5) {
            QueuedAttempt leg
                = makeLeg(next, ranks[random() % 3], now + Milliseconds(random() % 400));
            leg.isExtra = random() % 20 == 0;
            open[next++] = leg.deadline;
            queue.push(std::move(leg));
        } else if (choice < 6 && !open.empty()) {
            const AttemptId id = open.begin()->first;
            EXPECT_TRUE(queue.remove(id));
            EXPECT_FALSE(queue.remove(id));
            open.erase(id);
        } else if (const auto leg = queue.pop(now, anywhere, expired)) {
            EXPECT_GT(leg->deadline, now);
            EXPECT_EQ(open.erase(leg->id), 1U);
        }
        for (const AttemptId id : expired) {
            EXPECT_LE(open[id], now);
            EXPECT_EQ(open.erase(id), 1U);
        }
        expired.clear();
        ASSERT_EQ(queue.size(), open.size());
    }
}

INSTANTIATE_TEST_SUITE_P(Seeds, LegQueueSeedTest, testing::Range(1, 6));

} // namespace
} // namespace gwt
