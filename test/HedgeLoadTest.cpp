#include "gateway/backends/BackendScore.h"
#include "gateway/policy/HedgeTimer.h"

#include <gtest/gtest.h>

namespace gwt {
namespace {

using namespace std::chrono_literals;

const TimePoint start{1h};

struct OtherServerCase
{
    const char *name;
    Duration latency; ///< of its latest requests, which normally take 20 ms
    int inFlight; ///< requests in flight at its two slots
    Duration quiet; ///< time since its last answer
    bool isHedged;
};

class HedgeLoadTest : public testing::TestWithParam<OtherServerCase>
{ };

TEST_P(HedgeLoadTest, aSecondSendGoesOnlyWhereItCanBeInTime)
{
    constexpr Duration usual = 20ms;
    constexpr Duration left = 90ms; // until the target of 150 ms, when a leg is late
    BackendScore other;
    for (int i = 0; i < 20; ++i)
        other.note(SendResult::Served, GetParam().latency, usual, start);
    const Duration expected
        = other.expected(usual, GetParam().inFlight, 2, 0ms, false, start + GetParam().quiet);
    EXPECT_EQ(HedgeTimer::isHedgeUseful({expected, left, 2s, 60ms}), GetParam().isHedged);
}

INSTANTIATE_TEST_SUITE_P(SlowServersUnderFullLoad, HedgeLoadTest,
                         testing::Values(OtherServerCase{"quick", 20ms, 0, 0ms, true},
                                         OtherServerCase{"quickAndBusy", 20ms, 2, 0ms, true},
                                         OtherServerCase{"slow", 160ms, 0, 0ms, false},
                                         OtherServerCase{"slowerAndBusy", 60ms, 2, 0ms, false},
                                         OtherServerCase{"busyBeyondItsSlots", 20ms, 8, 0ms, false},
                                         OtherServerCase{"slowAWhileAgo", 160ms, 0, 1400ms, true}),
                         [](const auto &info) { return info.param.name; });

struct OutlookCase
{
    const char *name;
    HedgeConditions outlook; ///< in the order of its members
    bool isHedged;
};

class HedgeOutlookTest : public testing::TestWithParam<OutlookCase>
{ };

TEST_P(HedgeOutlookTest, aLateQueryIsRescuedOnlyFromASilentServer)
{
    EXPECT_EQ(HedgeTimer::isHedgeUseful(GetParam().outlook), GetParam().isHedged);
}

INSTANTIATE_TEST_SUITE_P(
    SlowServersUnderFullLoad, HedgeOutlookTest,
    testing::Values(OutlookCase{"inTime", {50ms, 60ms, 2s, 90ms}, true},
                    OutlookCase{"tooLateForTheTarget", {70ms, 60ms, 2s, 90ms}, false},
                    OutlookCase{"pastTheTargetBusy", {100ms, -10ms, 2s, 160ms}, false},
                    OutlookCase{"pastTheTargetSilent", {100ms, -50ms, 2s, 200ms}, true},
                    OutlookCase{"pastTheDeadline", {100ms, -1900ms, 50ms, 2s}, false},
                    OutlookCase{"noOtherServer", {Duration::max(), -50ms, 2s, 1s}, false}),
    [](const auto &info) { return info.param.name; });

} // namespace
} // namespace gwt
