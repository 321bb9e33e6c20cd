#include "common/Random.h"
#include "relay/ExtraLoadBudget.h"
#include "relay/HedgePolicy.h"
#include "relay/OwnerShare.h"
#include "relay/ServiceScheduler.h"

#include <gtest/gtest.h>

namespace gwt {
namespace {

using namespace std::chrono_literals;

class ExtraLoadBudgetTest : public testing::TestWithParam<double>
{ };

TEST_P(ExtraLoadBudgetTest, limitHoldsInAnyOrderOfCalls)
{
    RandomEngine random(7);
    ExtraLoadBudget budget(GetParam());
    double attempts = 0;
    double extra = 0;
    for (int i = 0; i < 100'000; ++i) {
        if (random() % 2 == 0) {
            budget.recordFirstAttempt();
            ++attempts;
        } else if (budget.tryAcquire()) {
            ++extra;
        }
        ASSERT_LE(extra, GetParam() * attempts + ExtraLoadBudget::s_initialTokens + 1e-6);
    }
}

INSTANTIATE_TEST_SUITE_P(Shares, ExtraLoadBudgetTest, testing::Values(0, 0.01, 0.05, 0.5));

TEST(ExtraLoadBudgetBurstTest, unusedTokensAreCappedAtBurst)
{
    ExtraLoadBudget budget(0.05, 20);
    for (int i = 0; i < 100'000; ++i)
        budget.recordFirstAttempt();
    int taken = 0;
    while (budget.tryAcquire())
        ++taken;
    EXPECT_EQ(taken, 20);
}

class OwnerShareTest : public testing::TestWithParam<int>
{ };

constexpr int maxSlots = 8;

TEST_P(OwnerShareTest, twoOwnersTogetherStayWithinTheServersLimits)
{
    const int limit = GetParam();
    EXPECT_EQ(OwnerShare::slots(OwnerRank::First, limit)
                  + OwnerShare::slots(OwnerRank::Second, limit),
              limit);
    for (int slots = 1; slots <= std::min(limit, maxSlots); ++slots) {
        const int first = OwnerShare::connections(OwnerRank::First, limit, slots);
        const int second = OwnerShare::connections(OwnerRank::Second, limit, slots);
        EXPECT_EQ(first + second, limit);
        EXPECT_GE(first, OwnerShare::slots(OwnerRank::First, slots));
        EXPECT_GE(second, OwnerShare::slots(OwnerRank::Second, slots));
    }
    EXPECT_GE(OwnerShare::slots(OwnerRank::First, limit), 1);
    EXPECT_EQ(OwnerShare::slots(OwnerRank::None, limit), 0);
}

INSTANTIATE_TEST_SUITE_P(Limits, OwnerShareTest, testing::Values(1, 2, 3, 4, 6, 25, 40, 100));

class HedgePolicyTest : public testing::Test
{
protected:
    HedgePolicyTest()
    {
        for (int i = 1; i <= 1000; ++i)
            m_policy.record("urgent", Microseconds(20 * i));
    }

    HedgePolicy m_policy;
};

TEST_F(HedgePolicyTest, theDelayIsTheQuantileOfTheRanksOwnRecentSlotTimes)
{
    const auto delay = m_policy.delay("urgent", true, 0ms);
    ASSERT_TRUE(delay);
    EXPECT_GE(*delay, 19200us);
    EXPECT_LE(*delay, 19200us * 1.17);
    EXPECT_EQ(m_policy.delay("desk", true, 0ms), HedgeRules{}.fallbackDelay);
}

TEST_F(HedgePolicyTest, noHedgeForUnhedgedRankOrLongQueue)
{
    EXPECT_FALSE(m_policy.delay("urgent", false, 0ms));
    EXPECT_FALSE(m_policy.delay("urgent", true, 100ms));
}

TEST_F(HedgePolicyTest, oldSamplesFade)
{
    for (std::uint32_t i = 0; i < 10 * LatencyHistogram::s_window; ++i)
        m_policy.record("urgent", 3ms);
    EXPECT_LE(*m_policy.delay("urgent", true, 0ms), 4ms);
}

class SlowReplicaHedgeTest : public testing::Test
{
protected:
    SlowReplicaHedgeTest()
    {
        Replica fast;
        fast.name = "fast";
        Replica slow;
        slow.name = "slow";
        m_scheduler.replicas().configure({fast, slow});
        for (int i = 0; i < 100; ++i) {
            finish("fast", 5ms);
            finish("slow", 200ms);
        }
        for (AttemptId id = 1; id <= 100; ++id) {
            QueuedAttempt attempt;
            attempt.id = id;
            attempt.rank = "urgent";
            attempt.deadline = m_now + 1h;
            m_scheduler.push(std::move(attempt), m_now);
        }
    }

    void finish(const std::string &replica, Duration elapsed)
    {
        m_scheduler.replicas().acquireSlot(replica, m_now);
        m_scheduler.finish(replica, "urgent", AttemptOutcome::Answered, elapsed, m_now);
    }

    const TimePoint m_now{1h};
    ServiceScheduler m_scheduler{RelayOptions{}, 1};
};

TEST_F(SlowReplicaHedgeTest, longQueueForbidsHedgesExceptOnASlowReplica)
{
    EXPECT_FALSE(m_scheduler.hedgeDelay("urgent", true, "fast", m_now));
    EXPECT_TRUE(m_scheduler.hedgeDelay("urgent", true, "slow", m_now));
    EXPECT_FALSE(m_scheduler.hedgeDelay("urgent", false, "slow", m_now));
}

} // namespace
} // namespace gwt
