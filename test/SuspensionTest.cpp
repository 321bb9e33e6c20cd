// Tests a suspension of the host: CLOCK_BOOTTIME jumps ahead, while the steady clock doesn't count
// the time of the suspension.
#include "GatewayFixture.h"

#include <sys/syscall.h>
#include <unistd.h>

#include <atomic>

namespace {

std::atomic<std::int64_t> suspendedSeconds = 0;

} // namespace

/// Replaces the C library's function in this program.
extern "C" int clock_gettime(clockid_t clock, timespec *time) noexcept
{
    const long result = ::syscall(SYS_clock_gettime, clock, time);
    if (result == 0 && clock == CLOCK_BOOTTIME)
        time->tv_sec += suspendedSeconds;
    return static_cast<int>(result);
}

namespace gwt::test {
namespace {

void suspendFor(std::chrono::seconds time)
{
    suspendedSeconds += time.count();
}

class SuspensionTest : public GatewayTest
{ };

TEST_F(SuspensionTest, theReplacedClockIsInUse)
{
    const TimePoint before = Clock::now();
    const auto steady = std::chrono::steady_clock::now();
    suspendFor(3600s);
    EXPECT_GE(Clock::now() - before, 3600s);
    EXPECT_LT(std::chrono::steady_clock::now() - steady, 3600s);
}

TEST_F(SuspensionTest, aTimerDueDuringASuspensionRunsAfterIt)
{
    // A context of its own, so that no earlier timer wakes the loop.
    boost::asio::io_context context;
    TimerQueue timers(context);
    bool hasRun = false;
    timers.after(10min, [&] { hasRun = true; });
    EXPECT_FALSE(runUntil(
        context, [&] { return hasRun; }, 10ms));
    suspendFor(11min);
    EXPECT_TRUE(runUntil(context, [&] { return hasRun; }));
}

TEST_F(SuspensionTest, aRequestPastItsDeadlineIsAnsweredAfterTheSuspension)
{
    ScriptedServer &silent = addServer("s", ScriptedReply{});
    addSingleRoute(true);
    m_config.routes.front().timeout = 10min;
    start();
    const auto caller = connect();
    std::optional<Outcome<WireResponse>> result;
    caller->exchange(request("/one/x"), false, nullptr,
                     [&](Outcome<WireResponse> outcome) { result = std::move(outcome); });
    ASSERT_TRUE(runUntil(m_context, [&] { return !silent.requests().empty(); }));
    suspendFor(11min);
    ASSERT_TRUE(runUntil(m_context, [&] { return result.has_value(); }));
    ASSERT_TRUE(isOk(*result));
    EXPECT_EQ(valueOf(*result).result_int(), 504U);
}

TEST_F(SuspensionTest, aNonIdempotentRequestUsesNoConnectionThatWasIdleDuringIt)
{
    // The server's idle timeout may have expired: it closes the connection while the request is on
    // its way, and the request is lost.
    ScriptedServer &server = addServer("s", ScriptedReply{okResponse("done")});
    addSingleRoute(false);
    start();
    ASSERT_EQ(sendRequest("/one/a").result_int(), 200U);
    ASSERT_EQ(sendRequest("/one/b").result_int(), 200U);
    ASSERT_EQ(server.accepted(), 1);
    suspendFor(5s);
    ASSERT_EQ(sendRequest("/one/c").result_int(), 200U);
    EXPECT_EQ(server.accepted(), 2);
}

} // namespace
} // namespace gwt::test
