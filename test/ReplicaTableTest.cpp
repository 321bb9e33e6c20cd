#include "relay/ReplicaTable.h"

#include <gtest/gtest.h>

namespace gwt {
namespace {

using namespace std::chrono_literals;

const TimePoint start{1h};

Replica makeReplica(const std::string &name, int slots = 2)
{
    Replica replica;
    replica.name = name;
    replica.slots = slots;
    return replica;
}

class ReplicaTableTest : public testing::Test
{
protected:
    ReplicaTableTest() { m_table.configure({makeReplica("a"), makeReplica("b")}); }

    void answer(const std::string &name, Duration latency, int count)
    {
        for (int i = 0; i < count; ++i) {
            m_now += latency;
            m_table.acquireSlot(name, m_now);
            m_table.releaseSlot(name, AttemptOutcome::Answered, latency, m_now);
        }
    }

    bool endAttempt(const std::string &name, AttemptOutcome outcome)
    {
        m_table.acquireSlot(name, m_now);
        return m_table.releaseSlot(name, outcome, 10ms, m_now);
    }

    std::string pickedName(std::size_t queued = 0, const std::string &excludedReplica = {})
    {
        const Replica *replica = m_table.pick(m_now, queued, excludedReplica);
        return replica ? replica->name : "";
    }

    ReplicaTable m_table{ReplicaPicker::LeastCompletionTime, EjectionRules{}, 1};
    TimePoint m_now = start;
};

TEST_F(ReplicaTableTest, fasterReplicaIsPickedOrWaitedForWhileItCompletesSooner)
{
    answer("a", 5ms, 20);
    answer("b", 40ms, 20);
    m_now -= 1s;
    EXPECT_EQ(pickedName(), "a");
    m_table.acquireSlot("a", m_now);
    m_table.acquireSlot("a", m_now);
    EXPECT_EQ(pickedName(1), "");
    EXPECT_EQ(pickedName(30), "b");
}

TEST_F(ReplicaTableTest, newReplicaRampsUpToItsSlotLimit)
{
    m_table.configure({makeReplica("a", 4)});
    for (int allowed = 1; allowed <= 4; ++allowed) {
        for (int i = 0; i < allowed; ++i) {
            ASSERT_EQ(pickedName(), "a");
            m_table.acquireSlot("a", m_now);
        }
        EXPECT_EQ(pickedName(), "");
        for (int i = 0; i < allowed; ++i)
            m_table.releaseSlot("a", AttemptOutcome::Neutral, 0ms, m_now);
        answer("a", 5ms, 4);
    }
}

TEST_F(ReplicaTableTest, failingReplicaIsEjectedForLongerEachTime)
{
    EXPECT_FALSE(endAttempt("a", AttemptOutcome::Failed));
    EXPECT_FALSE(endAttempt("a", AttemptOutcome::Failed));
    EXPECT_TRUE(endAttempt("a", AttemptOutcome::Failed));
    EXPECT_EQ(pickedName(0, "b"), "");
    m_now += 1s;
    EXPECT_EQ(pickedName(0, "b"), "a");
    EXPECT_TRUE(endAttempt("a", AttemptOutcome::Failed)) << "a failed probe ejects again";
    m_now += 1s;
    EXPECT_EQ(pickedName(0, "b"), "");
    m_now += 1s;
    EXPECT_EQ(pickedName(0, "b"), "a");
}

TEST_F(ReplicaTableTest, replicaIsEjectedAfterMaxOverruns)
{
    for (int i = 1; i < EjectionRules{}.maxOverruns; ++i)
        EXPECT_FALSE(endAttempt("a", AttemptOutcome::Overrun));
    EXPECT_TRUE(endAttempt("a", AttemptOutcome::Overrun));
}

TEST_F(ReplicaTableTest, unresponsiveReplicaIsEjectedBeforeItsRequestsTimeOut)
{
    answer("a", 5ms, 20);
    m_table.acquireSlot("a", m_now);
    m_now += 900ms;
    EXPECT_TRUE(m_table.ejectUnresponsive(m_now).empty());
    m_now += 200ms;
    EXPECT_EQ(m_table.ejectUnresponsive(m_now), std::vector<std::string>{"a"});
    EXPECT_EQ(pickedName(0, "b"), "");
    m_table.releaseSlot("a", AttemptOutcome::Answered, 1100ms, m_now);
    m_now += 1s;
    EXPECT_EQ(pickedName(0, "b"), "a");
}

TEST_F(ReplicaTableTest, idleOrSlowReplicaIsNotEjectedAsUnresponsive)
{
    answer("a", 500ms, 200);
    m_table.acquireSlot("a", m_now);
    m_now += 2s;
    EXPECT_TRUE(m_table.ejectUnresponsive(m_now).empty());
}

TEST_F(ReplicaTableTest, readmittedReplicaRampsUp)
{
    answer("a", 5ms, 20);
    for (int i = 0; i < 3; ++i)
        endAttempt("a", AttemptOutcome::Failed);
    ASSERT_EQ(pickedName(0, "b"), "");
    m_now += 1s;
    ASSERT_EQ(pickedName(0, "b"), "a");
    m_table.acquireSlot("a", m_now);
    EXPECT_EQ(pickedName(0, "b"), "") << "one slot at first";
    m_table.releaseSlot("a", AttemptOutcome::Answered, 5ms, m_now);
    answer("a", 5ms, 3);
    m_table.acquireSlot("a", m_now);
    EXPECT_EQ(pickedName(0, "b"), "a") << "the second slot after four answers";
}

TEST_F(ReplicaTableTest, ejectionsAreLimitedToMaxEjectedShare)
{
    for (const char *name : {"a", "b"}) {
        for (int i = 0; i < 10; ++i)
            endAttempt(name, AttemptOutcome::Failed);
    }
    EXPECT_EQ(m_table.liveReplicas(m_now), 1);
}

TEST_F(ReplicaTableTest, anySourceOfDrainingStopsNewAttempts)
{
    m_table.markDraining("a", m_now);
    EXPECT_EQ(pickedName(0, "b"), "");
    m_table.setLeaving("b", true);
    EXPECT_EQ(pickedName(), "");
    m_table.setLeaving("b", false);
    EXPECT_EQ(pickedName(), "b");
    Replica draining = makeReplica("b");
    draining.isDraining = true;
    m_table.configure({makeReplica("a"), draining});
    EXPECT_EQ(pickedName(), "") << "a's own report remains valid after a new configuration";
}

TEST_F(ReplicaTableTest, drainingReportExpiresToOneSlotAndIsRenewedByReplies)
{
    answer("a", 5ms, 20);
    m_table.markDraining("a", m_now);
    m_now += 4min;
    m_table.markDraining("a", m_now);
    m_now += 4min;
    EXPECT_EQ(pickedName(0, "b"), "") << "the report was renewed";
    m_now += 1min;
    ASSERT_EQ(pickedName(0, "b"), "a");
    m_table.acquireSlot("a", m_now);
    EXPECT_EQ(pickedName(0, "b"), "") << "one attempt at a time";
    m_table.markDraining("a", m_now);
    m_table.releaseSlot("a", AttemptOutcome::Answered, 5ms, m_now);
    EXPECT_EQ(pickedName(0, "b"), "");
}

TEST_F(ReplicaTableTest, replicaIsSlowOnlyRelativeToUsableReplicas)
{
    answer("a", 5ms, 20);
    answer("b", 100ms, 50);
    EXPECT_TRUE(m_table.isSlow("b", m_now));
    EXPECT_FALSE(m_table.isSlow("a", m_now));
    m_table.setLeaving("a", true);
    EXPECT_FALSE(m_table.isSlow("b", m_now));
}

TEST_F(ReplicaTableTest, removedReplicaKeepsItsSlotsUntilItsRequestsEnd)
{
    m_table.acquireSlot("a", m_now);
    m_table.configure({makeReplica("b")});
    EXPECT_EQ(pickedName(0, "b"), "");
    m_table.configure({makeReplica("a", 1), makeReplica("b")});
    EXPECT_EQ(pickedName(0, "b"), "") << "its one slot is still held";
    m_table.releaseSlot("a", AttemptOutcome::Answered, 5ms, m_now);
    EXPECT_EQ(pickedName(0, "b"), "a");
}

} // namespace
} // namespace gwt
