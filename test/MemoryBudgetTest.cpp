#include "http/MemoryBudget.h"

#include <gtest/gtest.h>

namespace gwt::test {
namespace {

using namespace std::chrono_literals;
using Id = MemoryBudget::Id;

constexpr std::size_t mb = 1U << 20U;
const TimePoint start{};

/// Budget of 20 MB: pressure from 15 MB on, a reserve from 17.5 MB on.
const HostLimits smallHost{64, 0};

Id addHolder(MemoryBudget &budget, std::size_t bytes, Duration stall,
             MemoryUse use = MemoryUse::Exchange)
{
    const Id id = budget.add(start - stall);
    budget.setBytes(id, bytes, use);
    return id;
}

struct SelectionCase
{
    std::string name;
    std::vector<std::pair<double, Milliseconds>> holders; ///< MB held, time without progress
    MemoryUse use;
    std::size_t needed; ///< bytes
    std::vector<std::size_t> closed; ///< positions in holders, in this order
};

class MemorySelectionTest : public testing::TestWithParam<SelectionCase>
{ };

/// Guards against closing connections without need, and against closing the wrong ones.
TEST_P(MemorySelectionTest, selectsThoseThatHoldMuchForLong)
{
    MemoryBudget budget(smallHost);
    std::vector<Id> ids;
    for (const auto &[size, stall] : GetParam().holders)
        ids.push_back(
            addHolder(budget, static_cast<std::size_t>(size * mb), stall, GetParam().use));
    std::vector<Id> expected;
    for (const std::size_t position : GetParam().closed)
        expected.push_back(ids[position]);
    EXPECT_EQ(budget.selectForClose(0, GetParam().needed, start), expected);
}

INSTANTIATE_TEST_SUITE_P(
    Cases, MemorySelectionTest,
    testing::Values(
        SelectionCase{"noPressure", {{7, 9s}, {7, 9s}}, MemoryUse::Exchange, 0, {}},
        SelectionCase{"activeUnderPressure", {{8, 0s}, {8, 499ms}}, MemoryUse::Exchange, 0, {}},
        SelectionCase{"stalledUnderPressure", {{8, 0s}, {8, 500ms}}, MemoryUse::Exchange, 0, {1}},
        SelectionCase{
            "smallerButLongerStalled", {{1, 0s}, {9, 1s}, {6, 4s}}, MemoryUse::Exchange, 0, {2}},
        SelectionCase{"activeInReserve", {{9, 0s}, {10, 0s}}, MemoryUse::Exchange, 0, {1}},
        SelectionCase{"roomForAnother", {{7, 1s}, {7, 0s}}, MemoryUse::Exchange, 2 * mb, {0}},
        SelectionCase{"runningInReserve", {{9, 9s}, {10, 9s}}, MemoryUse::Running, 0, {}},
        SelectionCase{"runningBeyondLimit", {{9, 9s}, {12, 9s}}, MemoryUse::Running, 0, {1}},
        SelectionCase{"runningNotForAnother", {{9, 9s}, {12, 9s}}, MemoryUse::Running, mb, {}}),
    [](const auto &info) { return info.param.name; });

/// Guards against a connection that closes itself while it grows.
TEST(MemoryBudgetTest, neverSelectsTheExemptConnection)
{
    MemoryBudget budget(smallHost);
    const Id id = addHolder(budget, 19 * mb, 9s);
    EXPECT_TRUE(budget.selectForClose(id, 0, start).empty());
}

/// Guards against large requests that use the memory kept for small ones.
TEST(MemoryBudgetTest, admitsOnlySmallRequestsToTheReserve)
{
    MemoryBudget budget(smallHost);
    addHolder(budget, 18 * mb, 0s);
    const Id id = budget.add(start);
    EXPECT_TRUE(budget.admits(id, MemoryBudget::s_smallBytes));
    EXPECT_FALSE(budget.admits(id, MemoryBudget::s_smallBytes + 1));
    EXPECT_TRUE(budget.mayRead(id, 2 * mb));
    budget.setBytes(id, MemoryBudget::s_smallBytes + 1, MemoryUse::Exchange);
    EXPECT_FALSE(budget.mayRead(id, 2 * mb));
}

struct GrantCase
{
    std::string name;
    double othersHold; ///< MB
    std::vector<double> expected; ///< MB in total of connections that hold 1 MB each, in this order
    std::vector<bool> mayRead;
};

class MemoryGrantTest : public testing::TestWithParam<GrantCase>
{ };

/// Guards against connections that share what is left, so that none of them gets its request whole,
/// and against granting the same memory twice.
TEST_P(MemoryGrantTest, reservesTheRestOfARequest)
{
    MemoryBudget budget(smallHost);
    addHolder(budget, static_cast<std::size_t>(GetParam().othersHold * mb), 0s);
    std::vector<Id> ids;
    for (std::size_t i = 0; i < GetParam().expected.size(); ++i)
        ids.push_back(addHolder(budget, mb, 0s));
    std::vector<bool> mayRead;
    for (std::size_t i = 0; i < ids.size(); ++i)
        mayRead.push_back(
            budget.mayRead(ids[i], static_cast<std::size_t>(GetParam().expected[i] * mb)));
    EXPECT_EQ(mayRead, GetParam().mayRead);
}

INSTANTIATE_TEST_SUITE_P(Cases, MemoryGrantTest,
                         testing::Values(GrantCase{"noPressure", 2, {9, 9}, {true, true}},
                                         GrantCase{"roomForOne", 14, {1.8, 1.8}, {true, false}},
                                         GrantCase{
                                             "roomForTheSmaller", 14, {2.5, 1.4}, {false, true}},
                                         GrantCase{"noRoom", 17, {1.1, 1.1}, {false, false}}),
                         [](const auto &info) { return info.param.name; });

/// Guards against grants that outlast their request.
TEST(MemoryBudgetTest, aGrantEndsWithItsRequest)
{
    MemoryBudget budget(smallHost);
    addHolder(budget, 14 * mb, 0s);
    const Id first = addHolder(budget, mb, 0s);
    const Id second = addHolder(budget, mb, 0s);
    ASSERT_TRUE(budget.mayRead(first, 2 * mb));
    ASSERT_FALSE(budget.mayRead(second, 2 * mb));
    budget.setBytes(first, 0, MemoryUse::Exchange);
    budget.setBytes(first, mb, MemoryUse::Exchange);
    EXPECT_TRUE(budget.mayRead(second, 2 * mb));
    EXPECT_FALSE(budget.mayRead(first, 2 * mb));
}

/// Guards against closing callers for a pause that is not theirs, and against keeping those that
/// wait for longer than callers do.
TEST(MemoryBudgetTest, aWaitingConnectionIsClosedLater)
{
    MemoryBudget budget(smallHost);
    addHolder(budget, 14 * mb, 0s);
    const Id id = addHolder(budget, 2 * mb, 999ms);
    ASSERT_FALSE(budget.mayRead(id, 4 * mb));
    EXPECT_TRUE(budget.selectForClose(0, 0, start).empty());
    EXPECT_EQ(budget.selectForClose(0, 0, start + 1ms), std::vector<Id>{id});
}

/// Guards against memory that stays accounted for after its connection has closed.
TEST(MemoryBudgetTest, heldFallsToZero)
{
    MemoryBudget budget(smallHost);
    const Id id = addHolder(budget, mb, 0s);
    ASSERT_TRUE(budget.replies().tryReserve(mb));
    EXPECT_EQ(budget.held(), 2 * mb + MemoryBudget::s_connectionBytes);
    budget.replies().release(mb);
    budget.setBytes(id, 3 * mb, MemoryUse::Running);
    budget.remove(id);
    budget.setBytes(id, 5 * mb, MemoryUse::Running);
    EXPECT_EQ(budget.held(), 0);
}

/// Guards against limits under which a single legal request has no room on a small host.
TEST(MemoryBudgetTest, smallHostHoldsLargeRequests)
{
    const HostLimits host{160, 4100};
    EXPECT_EQ(host.budgetBytes(), 68 * mb);
    EXPECT_EQ(host.replyBytes(), 32 * mb);
    EXPECT_EQ(host.maxCallers(), 3075);
    EXPECT_EQ(host.maxAdminConnections(), 128);
    EXPECT_EQ(host.receiveBufferBytes(), 23'188);
    EXPECT_EQ(HostLimits({64, 100'000}).receiveBufferBytes(), 16'384);
    EXPECT_EQ(HostLimits({4096, 1}).receiveBufferBytes(), 131'072);
    EXPECT_EQ(HostLimits({160, 0}).receiveBufferBytes(), 0);
    EXPECT_GT(HostLimits({16, 0}).budgetBytes(), mb);
    EXPECT_EQ(HostLimits{}.maxCallers(), 0);
}

} // namespace
} // namespace gwt::test
