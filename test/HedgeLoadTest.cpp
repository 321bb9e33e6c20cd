#include "gateway/backends/BackendScore.h"
#include "gateway/policy/HedgeTimer.h"

#include <gtest/gtest.h>

namespace gwt {
namespace {

using namespace std::chrono_literals;

const TimePoint start{1h};

struct HedgeServerCase
{
    const char *name;
    Duration latency; ///< of its latest requests, which normally take 20 ms
    int inFlight; ///< requests in flight at its two slots
    Duration sinceLastAnswer; ///< time since its last answer
    bool isHedged;
};

class HedgeLoadTest : public testing::TestWithParam<HedgeServerCase>
{ };

TEST_P(HedgeLoadTest, hedgesOnlyIfOtherServerCanAnswerInTime)
{
    constexpr Duration typicalLatency = 20ms;
    constexpr Duration timeLeft = 90ms; // until the target of 150 ms, when a request is late
    BackendScore other;
    for (int i = 0; i < 20; ++i)
        other.record(SendResult::Served, GetParam().latency, typicalLatency, start);
    const Duration expected = other.expected(typicalLatency, GetParam().inFlight, 2, 0ms, false,
                                             start + GetParam().sinceLastAnswer);
    EXPECT_EQ(HedgeTimer::isHedgeUseful({expected, timeLeft, 2s, 60ms}), GetParam().isHedged);
}

INSTANTIATE_TEST_SUITE_P(SlowServersUnderFullLoad, HedgeLoadTest,
                         testing::Values(HedgeServerCase{"fast", 20ms, 0, 0ms, true},
                                         HedgeServerCase{"fastAndBusy", 20ms, 2, 0ms, true},
                                         HedgeServerCase{"slow", 160ms, 0, 0ms, false},
                                         HedgeServerCase{"slightlySlowAndBusy", 60ms, 2, 0ms,
                                                         false},
                                         HedgeServerCase{"queueing", 20ms, 8, 0ms, false},
                                         HedgeServerCase{"slowInThePast", 160ms, 0, 1400ms, true}),
                         [](const auto &info) { return info.param.name; });

struct HedgeConditionsCase
{
    const char *name;
    HedgeConditions conditions; ///< in the order of its members
    bool isHedged;
};

class HedgeConditionsTest : public testing::TestWithParam<HedgeConditionsCase>
{ };

TEST_P(HedgeConditionsTest, hedgesLateQueryOnlyIfServerIsUnresponsive)
{
    EXPECT_EQ(HedgeTimer::isHedgeUseful(GetParam().conditions), GetParam().isHedged);
}

INSTANTIATE_TEST_SUITE_P(
    SlowServersUnderFullLoad, HedgeConditionsTest,
    testing::Values(HedgeConditionsCase{"meetsTarget", {50ms, 60ms, 2s, 90ms}, true},
                    HedgeConditionsCase{"missesTarget", {70ms, 60ms, 2s, 90ms}, false},
                    HedgeConditionsCase{"pastTargetBusy", {100ms, -10ms, 2s, 160ms}, false},
                    HedgeConditionsCase{"pastTargetUnresponsive", {100ms, -50ms, 2s, 200ms}, true},
                    HedgeConditionsCase{"missesDeadline", {100ms, -1900ms, 50ms, 2s}, false},
                    HedgeConditionsCase{"noOtherServer", {Duration::max(), -50ms, 2s, 1s}, false}),
    [](const auto &info) { return info.param.name; });

} // namespace
} // namespace gwt
