#include "entry/Entry.h"

#include <gtest/gtest.h>

namespace gwt {
namespace {

constexpr std::size_t capacity = 3;

RequestTrace completeTrace(int number)
{
    RequestTrace trace;
    trace.requestId = "complete-" + std::to_string(number);
    trace.result.answered = {"a", "b"};
    return trace;
}

RequestTrace partialTrace(int number)
{
    RequestTrace trace;
    trace.requestId = "partial-" + std::to_string(number);
    trace.result.answered = {"a"};
    trace.result.missing = {{"b", "late"}};
    return trace;
}

RequestTrace refusedTrace(int number)
{
    RequestTrace trace;
    trace.requestId = "refused-" + std::to_string(number);
    trace.refusalReason = "limit";
    return trace;
}

struct EvictionCase
{
    std::string name;
    RequestTrace (*first)(int);
    RequestTrace (*later)(int);
    int laterCount;
    bool isRetained;
};

class RecentRequestsTest : public testing::TestWithParam<EvictionCase>
{ };

TEST_P(RecentRequestsTest, aTraceIsRetainedUntilItsKindExceedsTheCapacity)
{
    RecentRequests recent(capacity);
    const std::string id = GetParam().first(0).requestId;
    recent.add(GetParam().first(0));
    for (int i = 1; i <= GetParam().laterCount; ++i)
        recent.add(GetParam().later(i));
    EXPECT_EQ(recent.find(id).has_value(), GetParam().isRetained);
    EXPECT_TRUE(recent.find(GetParam().later(GetParam().laterCount).requestId));
    EXPECT_FALSE(recent.find("other"));
}

INSTANTIATE_TEST_SUITE_P(
    All, RecentRequestsTest,
    testing::Values(
        EvictionCase{"completeWithinCapacity", completeTrace, completeTrace, 2, true},
        EvictionCase{"completeEvicted", completeTrace, completeTrace, 3, false},
        EvictionCase{"partialNotEvictedByComplete", partialTrace, completeTrace, 50, true},
        EvictionCase{"refusedNotEvictedByComplete", refusedTrace, completeTrace, 50, true},
        EvictionCase{"partialEvictedByRefused", partialTrace, refusedTrace, 3, false}),
    [](const auto &info) { return info.param.name; });

TEST(RequestTraceTest, jsonContainsRelaysAndReasons)
{
    RequestTrace trace = partialTrace(1);
    trace.result.calls["s1"] = SliceCall{"relay@host-1", 1, "answered"};
    const std::string text = toJson(trace);
    EXPECT_NE(text.find(R"({"service":"b","reason":"late"})"), std::string::npos) << text;
    EXPECT_NE(text.find(R"("relay":"relay@host-1","calls":1,"outcome":"answered")"),
              std::string::npos)
        << text;
}

} // namespace
} // namespace gwt
