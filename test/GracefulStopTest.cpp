#include "GatewayFixture.h"

#include "gateway/GracefulStop.h"

#include <thread>

namespace gwt::test {
namespace {

struct ScheduleCase
{
    std::string name;
    Milliseconds limit;
    StopSchedule expected;
};

class StopScheduleTest : public testing::TestWithParam<ScheduleCase>
{ };

TEST_P(StopScheduleTest, leavesTimeForTheLastRequestsAndResponses)
{
    const StopSchedule schedule = StopSchedule::within(GetParam().limit, 2500ms);
    EXPECT_EQ(schedule.closeIdle, GetParam().expected.closeIdle);
    EXPECT_EQ(schedule.closeListener, GetParam().expected.closeListener);
    EXPECT_EQ(schedule.endRequests, GetParam().expected.endRequests);
    EXPECT_EQ(schedule.exit, GetParam().expected.exit);
}

INSTANTIATE_TEST_SUITE_P(
    Limits, StopScheduleTest,
    testing::Values(ScheduleCase{"usual", 5500ms, {2500ms, 4500ms, 5250ms, 5500ms}},
                    ScheduleCase{"long", 30s, {2500ms, 29s, 29750ms, 30s}},
                    ScheduleCase{"shorterThanTheAnnouncement", 2s, {1s, 1s, 1750ms, 2s}},
                    ScheduleCase{"short", 400ms, {150ms, 150ms, 300ms, 400ms}},
                    ScheduleCase{"none", 0ms, {0ms, 0ms, 0ms, 0ms}},
                    ScheduleCase{"negative", -500ms, {0ms, 0ms, 0ms, 0ms}}),
    [](const auto &info) { return info.param.name; });

class GracefulStopTest : public GatewayTest
{
protected:
    GracefulStopTest()
        : m_stop(m_timers, m_core, m_callerServer, 50ms, 800ms, [this] { ++m_ends; })
    { }

    bool runUntilEnded()
    {
        return runUntil(
            m_context, [this] { return m_ends > 0; }, 3s);
    }

    GracefulStop m_stop;
    int m_ends = 0;
};

struct LateCase
{
    std::string name;
    std::string path;
    bool isIdempotent;
    Milliseconds work; ///< of the backend servers; of one of two shards
    unsigned status; ///< that the caller gets
    bool isSentAfterSignal = false;
};

class LateRequestTest : public GracefulStopTest, public testing::WithParamInterface<LateCase>
{ };

// Guards against requests in flight that get no response when a stopping process reaches its time
// limit.
TEST_P(LateRequestTest, getsAResponseBeforeTheProcessEnds)
{
    addServer("s", {okResponse("ok"), GetParam().work});
    addServer("fast", {okResponse(std::string(16, 'f'))});
    addServer("slow", {okResponse(std::string(16, 's')), GetParam().work});
    addSingleRoute(GetParam().isIdempotent);
    addQueryRoute({"fast", "slow"}, 0.5);
    Route &all = addRoute("/whole/");
    all.query = {{"fast", "slow"}, 2, 1.0};
    for (Route &route : m_config.routes)
        route.timeout = route.target = 5s; // a tenth is the expected latency
    start();
    const auto caller = connect();
    if (GetParam().isSentAfterSignal)
        m_stop.begin();
    std::optional<Outcome<WireResponse>> result;
    caller->exchange(request(GetParam().path), false, nullptr,
                     [&](Outcome<WireResponse> outcome) { result = std::move(outcome); });
    runFor(20ms);
    m_stop.begin();
    ASSERT_TRUE(runUntilEnded());
    runFor(5ms);
    ASSERT_TRUE(result) << "the process ended without a response";
    ASSERT_TRUE(isOk(*result)) << errorOf(*result).reason;
    EXPECT_EQ(valueOf(*result).result_int(), GetParam().status);
    EXPECT_EQ(fieldOf(valueOf(*result), "Connection"), "close");
    EXPECT_TRUE(m_callerServer.openRequests().empty());
    EXPECT_EQ(m_ends, 1);
}

INSTANTIATE_TEST_SUITE_P(
    Requests, LateRequestTest,
    testing::Values(LateCase{"finishesInTime", "/one/1", true, 300ms, 200},
                    LateCase{"unsafeFinishesInTime", "/one/1", false, 300ms, 200},
                    LateCase{"outlastsTheStop", "/one/1", true, 1500ms, 504},
                    LateCase{"unsafeOutlastsTheStop", "/one/1", false, 1500ms, 504},
                    LateCase{"queryWithEnoughShards", "/all/1", true, 1500ms, 200},
                    LateCase{"queryWithTooFewShards", "/whole/1", true, 1500ms, 504},
                    LateCase{"sentAfterTheSignal", "/one/1", true, 1500ms, 504, true},
                    LateCase{"queryAfterTheSignal", "/all/1", true, 1500ms, 200, true},
                    LateCase{"tooFewShardsAfterTheSignal", "/whole/1", true, 1500ms, 504, true}),
    [](const auto &info) { return info.param.name; });

// Guards against a process that new connections keep busy until its time limit.
TEST_F(GracefulStopTest, endsBeforeItsLimitThoughCallersKeepConnecting)
{
    addServer("s", {okResponse("ok"), 30ms});
    addSingleRoute(true);
    start();
    m_stop.begin();
    int served = 0;
    int refused = 0;
    while (m_ends == 0 && served + refused < 1000) {
        const Outcome<WireResponse> outcome = exchange(request("/one/1"));
        const bool isServed = isOk(outcome) && valueOf(outcome).result_int() == 200;
        ++(isServed ? served : refused);
    }
    EXPECT_GT(served, 0);
    EXPECT_EQ(m_ends, 1);
    EXPECT_TRUE(m_callerServer.openRequests().empty());
}

struct RefusalCase
{
    std::string name;
    bool isIdempotent;
    Milliseconds target; ///< a tenth is the expected latency while none was measured
    bool isRefused;
};

class StopRefusalTest : public GracefulStopTest, public testing::WithParamInterface<RefusalCase>
{ };

TEST_P(StopRefusalTest, refusesAtOnceWhatCannotFinishInTime)
{
    ScriptedServer &server = addServer("s", {okResponse("ok")});
    addSingleRoute(GetParam().isIdempotent);
    m_config.routes.front().target = GetParam().target;
    start();
    m_stop.begin();
    const WireResponse response = sendRequest("/one/1");
    EXPECT_EQ(response.result_int(), GetParam().isRefused ? 503U : 200U);
    EXPECT_EQ(response.body(), GetParam().isRefused ? R"({"error":"stopping"})" : "ok");
    EXPECT_EQ(server.requests().size(), GetParam().isRefused ? 0U : 1U);
}

INSTANTIATE_TEST_SUITE_P(Requests, StopRefusalTest,
                         testing::Values(RefusalCase{"tooLong", true, 8s, true},
                                         RefusalCase{"finishes", true, 2s, false},
                                         RefusalCase{"tooLongForAnUnsafeOne", false, 2s, true},
                                         RefusalCase{"unsafeFinishes", false, 1s, false}),
                         [](const auto &info) { return info.param.name; });

TEST_F(GracefulStopTest, aSecondSignalChangesNothing)
{
    addServer("s", {okResponse("ok"), 200ms});
    addSingleRoute(true);
    start();
    const auto caller = connect();
    std::optional<Outcome<WireResponse>> result;
    caller->exchange(request("/one/1"), false, nullptr,
                     [&](Outcome<WireResponse> outcome) { result = std::move(outcome); });
    runFor(20ms);
    m_stop.begin();
    runFor(100ms);
    m_stop.begin();
    ASSERT_TRUE(runUntilEnded());
    ASSERT_TRUE(result && isOk(*result));
    EXPECT_EQ(valueOf(*result).result_int(), 200U);
}

TEST_F(GracefulStopTest, aLongerLimitDuringTheStopLetsRequestsFinish)
{
    addServer("s", {okResponse("ok"), 1200ms});
    addSingleRoute(true);
    start();
    const auto caller = connect();
    m_stop.begin();
    std::optional<Outcome<WireResponse>> result;
    caller->exchange(request("/one/1"), false, nullptr,
                     [&](Outcome<WireResponse> outcome) { result = std::move(outcome); });
    runFor(20ms);
    m_stop.setLimit(4s);
    ASSERT_TRUE(runUntil(m_context, [&] { return result.has_value(); }));
    ASSERT_TRUE(isOk(*result));
    EXPECT_EQ(valueOf(*result).result_int(), 200U);
}

struct QueueCase
{
    std::string name;
    int callers;
    std::size_t requests; ///< of each caller, in one write
    Milliseconds work; ///< of the backend server
    Duration stall; ///< of the process, before it accepts the callers
};

class WaitingRequestTest : public GracefulStopTest, public testing::WithParamInterface<QueueCase>
{ };

// Guards against requests without a response that wait where a stopping process does not look: in
// the accept queue, in an accept that has completed, behind another request, or through a stall.
TEST_P(WaitingRequestTest, getsAResponseBeforeTheProcessEnds)
{
    const QueueCase &waiting = GetParam();
    addServer("s", {okResponse("ok"), waiting.work});
    addSingleRoute(true);
    start();
    m_stop.begin();
    std::string bytes;
    for (std::size_t i = 0; i < waiting.requests; ++i)
        bytes += request("/one/1");
    std::vector<boost::asio::ip::tcp::socket> callers;
    callers.reserve(static_cast<std::size_t>(waiting.callers)); // reads refer to the sockets
    std::vector<std::string> received(static_cast<std::size_t>(waiting.callers));
    for (std::string &text : received) {
        callers.push_back(connectRaw());
        boost::asio::write(callers.back(), boost::asio::buffer(bytes));
        boost::asio::async_read(callers.back(), boost::asio::dynamic_buffer(text),
                                [](const auto &, std::size_t) {});
    }
    std::this_thread::sleep_for(waiting.stall);
    ASSERT_TRUE(runUntilEnded());
    runFor(20ms);
    for (const std::string &text : received) {
        std::size_t responses = 0;
        for (auto at = text.find("HTTP/1.1 "); at != std::string::npos;
             at = text.find("HTTP/1.1 ", at + 1))
            ++responses;
        EXPECT_EQ(responses, waiting.requests) << text;
    }
    EXPECT_TRUE(m_callerServer.openRequests().empty());
}

INSTANTIATE_TEST_SUITE_P(Places, WaitingRequestTest,
                         testing::Values(QueueCase{"acceptQueue", 6, 1, 10ms, 0ms},
                                         QueueCase{"behindARequestThatOutlastsTheStop", 1, 12,
                                                   1500ms, 0ms},
                                         QueueCase{"acceptQueueThroughAStall", 6, 1, 10ms, 1800ms},
                                         QueueCase{"manyThroughAStall", 6, 3, 10ms, 1800ms}),
                         [](const auto &info) { return info.param.name; });

struct ListenerCase
{
    std::string name;
    std::size_t callers;
    bool hasAcceptedOne; ///< the accept of the first one has completed
};

class ClosingListenerTest : public GracefulStopTest,
                            public testing::WithParamInterface<ListenerCase>
{ };

// Guards against connections that are reset because the process has not handled their accept yet.
TEST_P(ClosingListenerTest, connectedCallersAreServed)
{
    addServer("s", {okResponse("ok")});
    addSingleRoute(true);
    start();
    std::vector<boost::asio::ip::tcp::socket> callers;
    callers.reserve(GetParam().callers); // reads refer to the sockets
    const std::string bytes = request("/one/1");
    std::vector<std::string> answers(GetParam().callers, std::string(12, ' '));
    std::size_t answered = 0;
    for (std::string &answer : answers) {
        callers.push_back(connectRaw()); // not accepted yet, as the context does not run
        boost::asio::write(callers.back(), boost::asio::buffer(bytes));
        boost::asio::async_read(
            callers.back(), boost::asio::buffer(answer),
            [&](const auto &failure, std::size_t) { answered += failure ? 0 : 1; });
    }
    if (GetParam().hasAcceptedOne)
        m_context.poll_one();
    m_callerServer.stopAccepting();
    ASSERT_TRUE(runUntil(
        m_context, [&] { return answered == answers.size(); }, 2s))
        << answered;
    for (const std::string &answer : answers)
        EXPECT_EQ(answer, "HTTP/1.1 200");
}

INSTANTIATE_TEST_SUITE_P(Accepts, ClosingListenerTest,
                         testing::Values(ListenerCase{"oneInTheQueue", 1, false},
                                         ListenerCase{"threeInTheQueue", 3, false},
                                         ListenerCase{"anAcceptUnderWay", 3, true}),
                         [](const auto &info) { return info.param.name; });

} // namespace
} // namespace gwt::test
