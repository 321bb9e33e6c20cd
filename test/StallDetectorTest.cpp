#include "common/StallDetector.h"
#include "common/TimerQueue.h"

#include <gtest/gtest.h>

namespace gwt {
namespace {

using namespace std::chrono_literals;

/// \brief A run of timers that follows one without delay.
struct RunCase
{
    const char *name;
    Duration delay;
    Duration suspended;
    bool isStall;
};

class StallDetectorTest : public testing::TestWithParam<RunCase>
{ };

TEST_P(StallDetectorTest, reportsStallsAboveTheBoundOnce)
{
    const RunCase &run = GetParam();
    StallDetector detector(500ms);
    constexpr Duration suspendedBefore = 20min;
    const std::chrono::steady_clock::time_point steadyStart(1h);
    const TimePoint start(1h + suspendedBefore);
    ASSERT_FALSE(detector.recordRun(start, start, steadyStart));
    // System timers don't advance during a suspension: a timer of one second fires after it.
    const TimePoint due = start + 1s;
    const TimePoint now = due + run.delay + run.suspended;
    const auto steady = steadyStart + 1s + run.delay;
    const auto stall = detector.recordRun(due, now, steady);
    ASSERT_EQ(stall.has_value(), run.isStall);
    if (!stall)
        return;
    EXPECT_EQ(stall->delay, run.delay);
    EXPECT_EQ(stall->suspended, run.suspended);
    // Other timers due in the meantime are late for the same reason and aren't reported again.
    EXPECT_FALSE(detector.recordRun(due + 1ms, now, steady));
}

INSTANTIATE_TEST_SUITE_P(Runs, StallDetectorTest,
                         testing::Values(RunCase{"punctual", 0ms, 0ms, false},
                                         RunCase{"aBusyHost", 400ms, 0ms, false},
                                         RunCase{"aFrozenProcess", 2089ms, 0ms, true},
                                         RunCase{"aSuspendedHost", 0ms, 5s, true},
                                         RunCase{"both", 700ms, 3s, true}),
                         [](const auto &info) { return std::string(info.param.name); });

TEST(StallDetectorTimerTest, timerQueueReportsTheDueTimeOfLateTimers)
{
    boost::asio::io_context context;
    TimerQueue timers(context);
    std::optional<TimePoint> reportedDue;
    timers.onRun([&](TimePoint due) { reportedDue = due; });
    const TimePoint due = Clock::now() - 3s; // as if the process had been stopped
    timers.at(due, [] {});
    context.run();
    EXPECT_EQ(reportedDue, due);
}

} // namespace
} // namespace gwt
