#include "relay/commands/ReservationTable.h"

#include <gtest/gtest.h>

namespace gwt {
namespace {

using namespace std::chrono_literals;

constexpr Duration retention = 600s;
const TimePoint start = TimePoint{} + 1h;

wire::ExecuteReply makeDone(const std::string &result)
{
    wire::ExecuteReply outcome;
    outcome.set_state(wire::DONE);
    outcome.set_result(result);
    return outcome;
}

TEST(ReservationTableTest, aReservationIsUsedOnce)
{
    ReservationTable table(retention);
    const std::string id = table.add(SlotLease(), start + 1s);
    EXPECT_TRUE(isOk(table.consume(id, start)));
    const auto again = table.consume(id, start);
    ASSERT_FALSE(isOk(again));
    EXPECT_FALSE(provesNotRun(errorOf(again).code));
    EXPECT_EQ(table.outcome(id).reason(), "in_progress");
    table.recordOutcome(id, makeDone("r"), start);
    EXPECT_EQ(table.outcome(id).result(), "r");
}

TEST(ReservationTableTest, expiredReservationCannotBeUsedAndProvesNotRun)
{
    ReservationTable table(retention);
    const std::string id = table.add(SlotLease(), start + 1s);
    const auto late = table.consume(id, start + 1s);
    ASSERT_FALSE(isOk(late));
    EXPECT_TRUE(provesNotRun(errorOf(late).code));
    table.expire(start + 1s);
    EXPECT_EQ(table.size(), 0U);
    EXPECT_EQ(table.outcome(id).state(), wire::NOT_RUN);
}

TEST(ReservationTableTest, queryingTheOutcomeWithdrawsAnUnusedReservation)
{
    ReservationTable table(retention);
    const std::string id = table.add(SlotLease(), start + 1s);
    EXPECT_EQ(table.outcome(id).state(), wire::NOT_RUN);
    EXPECT_FALSE(isOk(table.consume(id, start)));
}

TEST(ReservationTableTest, discardedOutcomeIsUnknown)
{
    ReservationTable table(retention);
    const std::string used = table.add(SlotLease(), start + 1s);
    ASSERT_TRUE(isOk(table.consume(used, start)));
    table.recordOutcome(used, makeDone("r"), start);
    table.expire(start + retention);
    EXPECT_EQ(table.outcome(used).state(), wire::UNKNOWN);
    EXPECT_FALSE(provesNotRun(errorOf(table.consume(used, start)).code));
    EXPECT_EQ(table.outcome("no number").state(), wire::UNKNOWN);
    EXPECT_EQ(table.outcome("99").state(), wire::UNKNOWN);
}

} // namespace
} // namespace gwt
