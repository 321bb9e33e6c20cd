#include "gateway/sharing/FreshnessLimits.h"

#include <gtest/gtest.h>

namespace gwt {
namespace {

using namespace std::chrono_literals;

struct LimitsCase
{
    const char *name;
    Milliseconds updateLimit;
    int hops;
};

class FreshnessLimitsTest : public testing::TestWithParam<LimitsCase>
{ };

TEST_P(FreshnessLimitsTest, anOutdatedStateIsNoticedInTimeToAskTheRegistry)
{
    constexpr Milliseconds lastPoll{400}; // in flight when the state becomes stale
    constexpr Milliseconds listing{400}; // by a slow registry
    const FreshnessLimits limits(GetParam().updateLimit);
    EXPECT_LE(limits.staleAfter(GetParam().hops) + lastPoll + listing, GetParam().updateLimit);
    // Live sources are never older than that.
    EXPECT_GE(limits.staleAfter(GetParam().hops),
              limits.watchWait() + GetParam().hops * limits.pollWait());
}

INSTANTIATE_TEST_SUITE_P(All, FreshnessLimitsTest,
                         testing::Values(LimitsCase{"smallFleet", 3000ms, 1},
                                         LimitsCase{"twoLevels", 3000ms, 2},
                                         LimitsCase{"largeFleet", 5000ms, 2},
                                         LimitsCase{"largestFleet", 5000ms, 3}),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
} // namespace gwt
