#include "gateway/policy/OverdueQueue.h"
#include "gateway/policy/CallerWaitEstimator.h"

#include <gtest/gtest.h>

#include <array>
#include <map>

namespace gwt {
namespace {

using namespace std::chrono_literals;

constexpr Duration target = 150ms;
constexpr Duration work = 20ms;
constexpr std::size_t slots = 4; ///< of all servers of a shard, for 200 queries per second
constexpr std::size_t processes = 7;
constexpr Duration outage = 1500ms;
constexpr Duration arrivalGap = 11ms; ///< 90 queries per second
constexpr Duration simulatedTime = 3s;

struct Served
{
    int inTime = 0;
    int firstTryCallers = 0; ///< callers on their first try
    int overdue = 0;
    int overdueCallers = 0;

    double inTimeShare() const { return static_cast<double>(inTime) / firstTryCallers; }
};

/// \brief Simulates the retries when all hosts return after an outage.
///
/// The callers that failed retry within a tenth of a second, while others send their first request.
/// The shard serves in order of arrival.
class OutageRecoveryModel
{
public:
    explicit OutageRecoveryModel(bool hasQueues)
        : m_hasQueues(hasQueues)
    { }

    Served simulate()
    {
        const auto returningCallers = static_cast<int>(outage / arrivalGap);
        Duration nextFirstTry = 0ms;
        for (m_now = 0ms; m_now < simulatedTime; m_now += 1ms) {
            if (m_now < 100ms) {
                for (int i = 0; i < returningCallers / 100; ++i)
                    retry();
            }
            if (m_now >= nextFirstTry && m_now < 1s) {
                nextFirstTry += arrivalGap;
                ++m_served.firstTryCallers;
                const Duration arrivedAt = m_now;
                serve([this, arrivedAt] { m_served.inTime += m_now - arrivedAt <= target; });
            }
            completeDueQueries();
        }
        return m_served;
    }

private:
    void retry()
    {
        ++m_served.overdueCallers;
        if (!m_hasQueues) {
            serve([this] { ++m_served.overdue; });
            return;
        }
        OverdueQueue &queue = m_queues[m_nextProcess++ % processes];
        const OverdueQueue::Id id = queue.newId();
        queue.add(id, [this, &queue, id] {
            serve([this, &queue, id] {
                ++m_served.overdue;
                queue.remove(id);
            });
        });
    }
    void serve(std::function<void()> onEnd)
    {
        Duration &slot = *std::min_element(m_slots.begin(), m_slots.end());
        slot = std::max(slot, m_now) + work;
        m_ends.emplace(slot, std::move(onEnd));
    }
    void completeDueQueries()
    {
        while (!m_ends.empty() && m_ends.begin()->first <= m_now) {
            const auto onEnd = m_ends.extract(m_ends.begin()).mapped();
            onEnd();
        }
    }

    const bool m_hasQueues;
    Duration m_now{0};
    std::array<Duration, slots> m_slots{}; ///< time at which each becomes free
    std::multimap<Duration, std::function<void()>> m_ends;
    std::array<OverdueQueue, processes> m_queues;
    std::size_t m_nextProcess = 0;
    Served m_served;
};

TEST(RetriesAfterOutageTest, firstTriesMeetTargetWhileRetriesAreQueued)
{
    const Served withoutQueues = OutageRecoveryModel(false).simulate();
    const Served withQueues = OutageRecoveryModel(true).simulate();
    EXPECT_LT(withoutQueues.inTimeShare(), 0.6);
    EXPECT_GT(withQueues.inTimeShare(), 0.95);
    EXPECT_EQ(withQueues.overdue, withQueues.overdueCallers);
    EXPECT_EQ(withoutQueues.overdue, withoutQueues.overdueCallers);
}

TEST(OverdueQueueTest, nextQueryStartsWhenPreviousEnds)
{
    OverdueQueue queue;
    std::vector<OverdueQueue::Id> started;
    for (OverdueQueue::Id id = 1; id <= 4; ++id)
        queue.add(id, [&started, id] { started.push_back(id); });
    EXPECT_EQ(started, (std::vector<OverdueQueue::Id>{1}));
    queue.remove(3); // The caller disconnects while the query waits.
    EXPECT_EQ(queue.waiting(), 2U);
    queue.remove(1);
    queue.remove(2);
    EXPECT_EQ(started, (std::vector<OverdueQueue::Id>{1, 2, 4}));
    EXPECT_FALSE(queue.isEmpty());
    queue.remove(4);
    EXPECT_TRUE(queue.isEmpty());
}

TEST(OverdueQueueTest, queryEndingDuringStartStartsNext)
{
    OverdueQueue queue;
    int started = 0;
    queue.add(1, [] {});
    for (OverdueQueue::Id id = 2; id <= 4; ++id) {
        queue.add(id, [&queue, &started, id] {
            ++started;
            queue.remove(id);
        });
    }
    queue.remove(1);
    EXPECT_EQ(started, 3);
    EXPECT_TRUE(queue.isEmpty());
}

struct CallerWaitCase
{
    const char *name;
    std::vector<Milliseconds> earlierTimeouts; ///< timeouts of the earlier callers, sent repeatedly
    Milliseconds allowed;
    Duration expectedWait;
};

class CallerWaitEstimatorTest : public testing::TestWithParam<CallerWaitCase>
{ };

TEST_P(CallerWaitEstimatorTest, estimatesWaitFromRemainingTimeout)
{
    CallerWaitEstimator callerWaits;
    for (int round = 0; round < 20; ++round) {
        for (const Milliseconds allowed : GetParam().earlierTimeouts)
            callerWaits.waitedBefore("route", allowed);
    }
    EXPECT_EQ(callerWaits.waitedBefore("route", GetParam().allowed), GetParam().expectedWait);
    EXPECT_EQ(callerWaits.waitedBefore("other", GetParam().allowed), 0ms);
}

INSTANTIATE_TEST_SUITE_P(
    Callers, CallerWaitEstimatorTest,
    testing::Values(CallerWaitCase{"firstRequest", {}, 2500ms, 0ms},
                    CallerWaitCase{"timeoutJitter", {2500ms, 2497ms, 2500ms}, 2497ms, 3ms},
                    CallerWaitCase{"retry", {2500ms}, 1500ms, 1s},
                    CallerWaitCase{"mostAreRetries", {1500ms, 600ms, 2500ms, 1490ms}, 1500ms, 1s},
                    CallerWaitCase{"longerTimeoutThanOthers", {2500ms}, 10s, 0ms},
                    CallerWaitCase{"oneInTwentyHasLongerTimeout",
                                   std::vector<Milliseconds>{10s, 1s, 1s, 1s, 1s, 1s, 1s,
                                                             1s,  1s, 1s, 1s, 1s, 1s, 1s,
                                                             1s,  1s, 1s, 1s, 1s, 1s},
                                   1s, 0s}),
    [](const auto &info) { return std::string(info.param.name); });

} // namespace
} // namespace gwt
