#include "gateway/backends/BackendHold.h"
#include "gateway/backends/BackendScore.h"
#include "gateway/backends/HoldMemory.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <random>
#include <vector>

namespace gwt {
namespace {

using namespace std::chrono_literals;

const TimePoint start{1h};

struct RetryAfterCase
{
    const char *name;
    const char *text;
    std::optional<Duration> expected;
};

class RetryAfterTest : public testing::TestWithParam<RetryAfterCase>
{ };

TEST_P(RetryAfterTest, isReadInSeconds)
{
    EXPECT_EQ(parseRetryAfter(GetParam().text), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    Values, RetryAfterTest,
    testing::Values(RetryAfterCase{"whole", "3", 3s}, RetryAfterCase{"fraction", "0.25", 250ms},
                    RetryAfterCase{"blanks", " 2 ", 2s}, RetryAfterCase{"zero", "0", 0s},
                    RetryAfterCase{"huge", "99999999999999999999", 24h},
                    RetryAfterCase{"beyondDouble",
                                   "1"
                                   "00000000000000000000"
                                   "00000000000000000000"
                                   "00000000000000000000"
                                   "00000000000000000000"
                                   "00000000000000000000"
                                   "00000000000000000000"
                                   "00000000000000000000"
                                   "00000000000000000000"
                                   "00000000000000000000"
                                   "00000000000000000000"
                                   "00000000000000000000"
                                   "00000000000000000000"
                                   "00000000000000000000"
                                   "00000000000000000000"
                                   "00000000000000000000"
                                   "00000000000000000000",
                                   24h},
                    RetryAfterCase{"empty", "", std::nullopt},
                    RetryAfterCase{"blank", "  ", std::nullopt},
                    RetryAfterCase{"negative", "-1", std::nullopt},
                    RetryAfterCase{"negativeZero", "-0", std::nullopt},
                    RetryAfterCase{"infinite", "inf", std::nullopt},
                    RetryAfterCase{"noNumber", "nan", std::nullopt},
                    RetryAfterCase{"date", "Fri, 04 Dec 2026 10:00:00 GMT", std::nullopt},
                    RetryAfterCase{"trailingText", "3 seconds", std::nullopt},
                    RetryAfterCase{"list", "1, 2", std::nullopt},
                    RetryAfterCase{"garbage", "\x01\xff", std::nullopt}),
    [](const auto &info) { return info.param.name; });

TEST(BackendHoldTest, aPauseEndsAndIsNeverShortened)
{
    BackendHold hold({5min, 0, 0s});
    hold.recordPause(2s, 0, start);
    hold.recordPause(1s, 0, start + 100ms);
    EXPECT_EQ(hold.reason(start + 1999ms), HoldReason::Shedding);
    EXPECT_EQ(hold.reason(start + 2s), HoldReason::None);
}

TEST(BackendHoldTest, aVeryLongPauseIsCut)
{
    BackendHold hold({5min, 0, 0s});
    hold.recordPause(24h, 0, start);
    EXPECT_TRUE(hold.isActive(start + 299s));
    EXPECT_FALSE(hold.isActive(start + 300s));
}

TEST(BackendHoldTest, leavingNeverEnds)
{
    BackendHold hold;
    hold.recordLeaving();
    hold.recordPause(1s, 0, start);
    hold.recordServed(start + 2s);
    EXPECT_EQ(hold.reason(start + 24h), HoldReason::Leaving);
    EXPECT_FALSE(hold.mayReceive(0, start + 24h));
}

TEST(BackendHoldTest, afterAPauseOneRequestAtATimeUntilOneIsServed)
{
    BackendHold hold({5min, 0, 0s});
    hold.recordPause(1s, 0, start);
    EXPECT_FALSE(hold.mayReceive(0, start + 999ms));
    EXPECT_TRUE(hold.mayReceive(0, start + 1s));
    EXPECT_FALSE(hold.mayReceive(1, start + 1s));
    hold.recordServed(start - 1s); // sent before the pause
    EXPECT_FALSE(hold.mayReceive(1, start + 1s));
    hold.recordServed(start + 1s);
    EXPECT_TRUE(hold.mayReceive(1, start + 1s));
}

BackendEntry entryOf(const std::string &id, std::int64_t incarnation, std::uint16_t port)
{
    BackendEntry entry;
    entry.id = id;
    entry.incarnation = incarnation;
    entry.address = {"10.0.0.1", port};
    return entry;
}

struct InstanceCase
{
    const char *name;
    BackendEntry held;
    BackendEntry registered;
    bool isSame;
};

class HoldMemoryTest : public testing::TestWithParam<InstanceCase>
{ };

TEST_P(HoldMemoryTest, aHoldBelongsToTheInstance)
{
    BackendHold hold;
    hold.recordLeaving();
    HoldMemory memory;
    memory.store(GetParam().held, hold, start);
    EXPECT_EQ(memory.find(GetParam().registered).isLeaving(), GetParam().isSame);
}

INSTANTIATE_TEST_SUITE_P(
    Registrations, HoldMemoryTest,
    testing::Values(
        InstanceCase{"sameInstance", entryOf("a", 7, 1), entryOf("a", 7, 1), true},
        InstanceCase{"movedInstance", entryOf("a", 7, 1), entryOf("a", 7, 2), true},
        InstanceCase{"restarted", entryOf("a", 7, 1), entryOf("a", 8, 1), false},
        InstanceCase{"otherIdAtTheAddress", entryOf("a", 7, 1), entryOf("b", 7, 1), false},
        InstanceCase{"startTimeNotReported", entryOf("a", 0, 1), entryOf("a", 0, 1), true},
        InstanceCase{"startTimeNotReportedElsewhere", entryOf("a", 0, 1), entryOf("a", 0, 2),
                     false}),
    [](const auto &info) { return info.param.name; });

TEST(HoldMemoryTest, holdsAreDroppedByAgeAndBeyondTheMaximum)
{
    BackendHold hold;
    hold.recordLeaving();
    HoldMemory memory(1min, 2);
    memory.store(entryOf("a", 1, 1), hold, start);
    memory.store(entryOf("b", 1, 1), hold, start + 10s);
    memory.store(entryOf("c", 1, 1), hold, start + 20s);
    EXPECT_EQ(memory.size(), 2U);
    EXPECT_FALSE(memory.find(entryOf("a", 1, 1)).isLeaving());
    memory.store(entryOf("d", 1, 1), hold, start + 75s);
    EXPECT_FALSE(memory.find(entryOf("b", 1, 1)).isLeaving());
    EXPECT_TRUE(memory.find(entryOf("c", 1, 1)).isLeaving());
}

/// Many processes send to few servers, which are busy; each process knows only its own requests.
/// From second 1 to 5 one server sheds load: it rejects each request and asks for a pause of 2 s.
class SheddingLoad
{
public:
    static constexpr int s_processes = 24;
    static constexpr Duration s_pause = 2s;
    static constexpr Duration s_step = 4ms; ///< each process sends one request a step
    static constexpr Duration s_latency = 40ms;
    static constexpr Duration s_window = 50ms;

    struct Result
    {
        int rejected = 0;
        /// Most requests of one process between half a second after a rejection and the end of
        /// the pause that it asked for.
        int mostInPause = 0;
        /// Most requests of all processes within s_window after the first pause, while the server
        /// still rejects them.
        int mostReturning = 0;
    };

    SheddingLoad(bool usesHolds, HoldRules rules)
        : m_usesHolds(usesHolds)
        , m_processes(s_processes)
    {
        for (Process &process : m_processes) {
            for (Server &server : process.servers)
                server.hold = BackendHold(rules);
        }
    }

    Result run()
    {
        std::map<std::int64_t, int> returning; ///< by window
        for (Duration time = 0s; time < 7s; time += s_step) {
            for (Process &process : m_processes) {
                const bool isRejected = send(process, start + time);
                if (isRejected && time >= 1s + s_pause / 2)
                    ++returning[time / s_window];
            }
        }
        for (const auto &[window, arrivals] : returning)
            m_result.mostReturning = std::max(m_result.mostReturning, arrivals);
        return m_result;
    }

private:
    struct Server
    {
        BackendScore score;
        BackendHold hold;
        std::deque<TimePoint> ends; ///< of the requests in flight
    };
    struct Process
    {
        std::array<Server, 3> servers; ///< the first one sheds load
        TimePoint rejectedAt;
        int inPause = 0;
    };

    static void endRequests(Server &server, TimePoint now)
    {
        while (!server.ends.empty() && server.ends.front() <= now) {
            server.ends.pop_front();
            server.score.record(SendResult::Served, s_latency, s_latency, now);
            server.hold.recordServed(now - s_latency);
        }
    }

    Server &choose(Process &process, TimePoint now)
    {
        Server *best = nullptr;
        Duration least = Duration::max();
        for (Server &server : process.servers) {
            endRequests(server, now);
            const int inFlight = static_cast<int>(server.ends.size());
            if (m_usesHolds && !server.hold.mayReceive(inFlight, now))
                continue;
            const Duration oldest
                = server.ends.empty() ? 0ms : now - (server.ends.front() - s_latency);
            const Duration cost = server.score.expected(s_latency, inFlight, 2, oldest, false, now);
            if (cost < least) {
                least = cost;
                best = &server;
            }
        }
        return *best;
    }

    /// Sends one request; returns true if it is rejected.
    bool send(Process &process, TimePoint now)
    {
        Server &server = choose(process, now);
        const bool isShedding = &server == process.servers.data();
        const bool isRejected = isShedding && now >= start + 1s && now < start + 5s;
        if (isShedding)
            countArrival(process, now);
        if (!isRejected) {
            server.ends.push_back(now + s_latency);
            return false;
        }
        ++m_result.rejected;
        process.rejectedAt = now;
        process.inPause = 0;
        server.score.record(SendResult::Refused, 1ms, s_latency, now);
        server.hold.recordPause(s_pause, std::uniform_real_distribution<>(0, 1)(m_random), now);
        return true;
    }

    void countArrival(Process &process, TimePoint now)
    {
        const bool isInPause = process.rejectedAt != TimePoint() && now > process.rejectedAt + 500ms
            && now < process.rejectedAt + s_pause;
        process.inPause += isInPause ? 1 : 0;
        m_result.mostInPause = std::max(m_result.mostInPause, process.inPause);
    }

    const bool m_usesHolds;
    std::vector<Process> m_processes;
    std::mt19937 m_random{1};
    Result m_result;
};

struct SheddingCase
{
    const char *name;
    bool usesHolds;
    HoldRules rules;
    bool observesPauses;
    int maxReturning; ///< of 24 processes, within 50 ms
};

class SheddingLoadTest : public testing::TestWithParam<SheddingCase>
{ };

TEST_P(SheddingLoadTest, pausesAreObservedAndProcessesReturnSpreadOut)
{
    const SheddingLoad::Result result = SheddingLoad(GetParam().usesHolds, GetParam().rules).run();
    std::cout << GetParam().name << ": rejected " << result.rejected << ", in a pause "
              << result.mostInPause << ", returning together " << result.mostReturning << "\n";
    // The rule of the platform: at most two requests. Two pauses fit into the time of the fault.
    EXPECT_EQ(result.mostInPause <= 2, GetParam().observesPauses);
    EXPECT_EQ(result.rejected <= 3 * SheddingLoad::s_processes, GetParam().observesPauses);
    EXPECT_LE(result.mostReturning, GetParam().maxReturning);
}

INSTANTIATE_TEST_SUITE_P(
    ManyProcessesFewServers, SheddingLoadTest,
    testing::Values(SheddingCase{"holds", true, {}, true, 12},
                    SheddingCase{"holdsWithoutSpread", true, {5min, 0, 0s}, true, 24},
                    SheddingCase{"baselineFailureRateOnly", false, {}, false, 240}),
    [](const auto &info) { return info.param.name; });

} // namespace
} // namespace gwt
