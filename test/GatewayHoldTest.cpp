#include "GatewayFixture.h"

namespace gwt::test {
namespace {

const std::string leavingField = "Server-Leaving: 1\r\n";
const std::string notRunField = "X-Not-Executed: 1\r\n";

/// Guards against requests to backend servers that said in their responses that they are leaving,
/// or for how long they want none.
class GatewayHoldTest : public GatewayTest
{
protected:
    /// Sends requests until \a server has received one.
    void reach(const ScriptedServer &server)
    {
        for (int i = 0; i < 50 && server.requests().empty(); ++i)
            sendRequest("/one/1");
        ASSERT_EQ(server.requests().size(), 1U);
    }
    void reregister(const BackendEntry &entry)
    {
        m_core.onBackendChanges({{entry.id, std::nullopt}});
        m_core.onBackendChanges({{entry.id, entry}});
    }
};

struct LeavingCase
{
    const char *name;
    std::string bytes;
    bool isLeaving;
};

class LeavingAnswerTest : public GatewayHoldTest, public testing::WithParamInterface<LeavingCase>
{ };

TEST_P(LeavingAnswerTest, endsNewRequestsToThatServer)
{
    ScriptedServer &leaving = addServer("s", ScriptedReply{GetParam().bytes});
    addServer("s", {okResponse("other"), 2ms});
    addSingleRoute(true);
    start();
    reach(leaving);
    m_core.onBackendChanges({{"i-2", std::nullopt}});
    const std::size_t received = leaving.requests().size();
    const WireResponse response = sendRequest("/one/1");
    EXPECT_EQ(leaving.requests().size() == received, GetParam().isLeaving);
    EXPECT_TRUE(!GetParam().isLeaving || response.result_int() == 503U);
}

INSTANTIATE_TEST_SUITE_P(
    Answers, LeavingAnswerTest,
    testing::Values(
        LeavingCase{"success", okResponse("a", signatureField + leavingField), true},
        LeavingCase{"ownId",
                    okResponse("a", signatureField + leavingField + "X-Instance-Id: i-1\r\n"),
                    true},
        LeavingCase{"refusal", httpResponse(503, notRunField + leavingField, ""), true},
        LeavingCase{"failure", httpResponse(500, signatureField + leavingField, ""), true},
        LeavingCase{"misdirected", httpResponse(421, leavingField, ""), true},
        LeavingCase{"otherInstance",
                    okResponse("a", signatureField + leavingField + "X-Instance-Id: i-9\r\n"),
                    false},
        LeavingCase{"answerToAnotherRequest",
                    okResponse("a", signatureField + leavingField + "X-Request-Id: id-9\r\n")
                        + okResponse("a"),
                    false},
        LeavingCase{"none", okResponse("a"), false}),
    [](const auto &info) { return info.param.name; });

TEST_F(GatewayHoldTest, theHeadOfAnAnswerIsEnough)
{
    ScriptedServer &leaving
        = addServer("s",
                    ScriptedReply{"HTTP/1.1 200 OK\r\n" + signatureField + leavingField
                                  + "Content-Length: 100\r\n\r\nfirst"});
    addServer("s", {okResponse("other"), 2ms});
    addSingleRoute(true);
    m_config.routes.back().target = 2s;
    start();
    const auto caller = connect();
    for (int i = 0; i < 50 && leaving.requests().empty(); ++i) {
        bool isAnswered = false;
        caller->exchange(request("/one/1"), false, nullptr,
                         [&](const Outcome<WireResponse> &) { isAnswered = true; });
        runUntil(m_context, [&] { return isAnswered || !leaving.requests().empty(); });
    }
    runFor(20ms);
    m_core.onBackendChanges({{"i-2", std::nullopt}});
    EXPECT_EQ(sendRequest("/one/1", "X-Deadline-Ms: 1000\r\n").result_int(), 503U);
    EXPECT_EQ(leaving.requests().size(), 1U);
    caller->close();
}

TEST_F(GatewayHoldTest, ifAllServersAreLeavingARequestIsRefusedAtOnceAndHasNotRun)
{
    ScriptedServer &server
        = addServer("s", ScriptedReply{okResponse("a", signatureField + leavingField)});
    addSingleRoute(false);
    start();
    EXPECT_EQ(sendRequest("/one/1").result_int(), 200U);
    const TimePoint before = Clock::now();
    EXPECT_EQ(sendRequest("/one/1").result_int(), 503U);
    EXPECT_LT(Clock::now() - before, 100ms);
    EXPECT_EQ(server.requests().size(), 1U);
}

struct RegistrationCase
{
    const char *name;
    std::int64_t incarnation;
    const char *id;
    bool isUsed;
};

class LeavingRegistrationTest : public GatewayHoldTest,
                                public testing::WithParamInterface<RegistrationCase>
{ };

TEST_P(LeavingRegistrationTest, belongsToTheInstance)
{
    ScriptedServer &server
        = addServer("s", ScriptedReply{okResponse("a", signatureField + leavingField)});
    m_entries.back().incarnation = 5;
    addSingleRoute(true);
    start();
    reach(server);
    m_core.onBackendChanges({{"i-1", std::nullopt}});
    BackendEntry entry = m_entries.back();
    entry.incarnation = GetParam().incarnation;
    entry.id = GetParam().id;
    m_core.onBackendChanges({{entry.id, entry}});
    sendRequest("/one/1");
    EXPECT_EQ(server.requests().size(), GetParam().isUsed ? 2U : 1U);
}

INSTANTIATE_TEST_SUITE_P(Registrations, LeavingRegistrationTest,
                         testing::Values(RegistrationCase{"sameInstanceAgain", 5, "i-1", false},
                                         RegistrationCase{"newInstanceWithItsId", 6, "i-1", true},
                                         RegistrationCase{"newInstanceAtItsAddress", 6, "i-2",
                                                          true}),
                         [](const auto &info) { return info.param.name; });

TEST_F(GatewayHoldTest, aLateAnswerOfAnInstanceThatIsRegisteredAgainStillCounts)
{
    ScriptedServer &leaving
        = addServer("s", {okResponse("a", signatureField + leavingField), 100ms});
    addSingleRoute(true);
    m_config.routes.back().target = 2s;
    start();
    const auto caller = connect();
    bool isAnswered = false;
    caller->exchange(request("/one/1"), false, nullptr,
                     [&](const Outcome<WireResponse> &) { isAnswered = true; });
    runUntil(m_context, [&] { return !leaving.requests().empty(); });
    reregister(m_entries.front());
    ASSERT_TRUE(runUntil(m_context, [&] { return isAnswered; }));
    EXPECT_EQ(sendRequest("/one/1").result_int(), 503U);
    EXPECT_EQ(leaving.requests().size(), 1U);
}

TEST_F(GatewayHoldTest, aQueuedRequestIsNotSentToAServerThatIsLeaving)
{
    ScriptedServer &leaving
        = addServer("s", {okResponse("a", signatureField + leavingField), 50ms});
    addSingleRoute(true);
    m_config.routes.back().target = 2s;
    m_config.services.push_back({"s", "/health", 1}); // one connection a process
    start();
    const auto first = connect();
    const auto second = connect();
    std::vector<unsigned> statuses;
    const auto onAnswer
        = [&](Outcome<WireResponse> outcome) { statuses.push_back(valueOf(outcome).result_int()); };
    first->exchange(request("/one/1"), false, nullptr, onAnswer);
    runUntil(m_context, [&] { return !leaving.requests().empty(); });
    second->exchange(request("/one/1"), false, nullptr, onAnswer);
    ASSERT_TRUE(runUntil(m_context, [&] { return statuses.size() == 2; }));
    std::sort(statuses.begin(), statuses.end());
    EXPECT_EQ(statuses, (std::vector<unsigned>{200, 503}));
    EXPECT_EQ(leaving.requests().size(), 1U);
}

struct PauseCase
{
    const char *name;
    std::string field;
    bool isHeld;
};

class RetryAfterAnswerTest : public GatewayHoldTest, public testing::WithParamInterface<PauseCase>
{ };

TEST_P(RetryAfterAnswerTest, holdsOffRequestsIfItIsATime)
{
    ScriptedServer &full
        = addServer("s", ScriptedReply{httpResponse(503, notRunField + GetParam().field, "")});
    addServer("s", {okResponse("other"), 2ms});
    addSingleRoute(true);
    start();
    reach(full);
    m_core.onBackendChanges({{"i-2", std::nullopt}});
    const std::size_t received = full.requests().size();
    EXPECT_EQ(sendRequest("/one/1").result_int(), 503U);
    EXPECT_EQ(full.requests().size() == received, GetParam().isHeld);
}

INSTANTIATE_TEST_SUITE_P(
    Values, RetryAfterAnswerTest,
    testing::Values(PauseCase{"seconds", "Retry-After: 10\r\n", true},
                    PauseCase{"huge", "Retry-After: 99999999999999999999\r\n", true},
                    PauseCase{"absent", "", false}, PauseCase{"zero", "Retry-After: 0\r\n", false},
                    PauseCase{"negative", "Retry-After: -5\r\n", false},
                    PauseCase{"date", "Retry-After: Fri, 04 Dec 2026 10:00:00 GMT\r\n", false},
                    PauseCase{"garbage", "Retry-After: soon\r\n", false}),
    [](const auto &info) { return info.param.name; });

TEST_F(GatewayHoldTest, whileTheOnlyServerWantsNoRequestsTheyAreRefusedAtOnceAndToldWhenToRetry)
{
    ScriptedServer &server
        = addServer("s", ScriptedReply{httpResponse(503, notRunField + "Retry-After: 1\r\n", "")});
    addSingleRoute(true);
    start();
    for (int i = 0; i < 3; ++i) {
        const TimePoint before = Clock::now();
        const WireResponse response = sendRequest("/one/1", "X-Deadline-Ms: 600\r\n");
        EXPECT_EQ(response.result_int(), 503U);
        EXPECT_LT(Clock::now() - before, 100ms);
        EXPECT_GT(std::stod(fieldOf(response, "Retry-After")), 0.8);
        EXPECT_LT(std::stod(fieldOf(response, "Retry-After")), 2);
    }
    EXPECT_EQ(server.requests().size(), 1U);
    server.setScript([](const ServerRequest &) { return ScriptedReply{okResponse("a")}; });
    runFor(1300ms);
    EXPECT_EQ(sendRequest("/one/1").result_int(), 200U);
}

TEST_F(GatewayHoldTest, aQueryIsAnsweredFromTheOtherShardsIfItsShareAllows)
{
    const std::string record(16, 'r');
    const auto part = [&](const std::string &signature) {
        return okResponse(record, "X-Server-Stamp: " + signature + "\r\n");
    };
    addServer("a", ScriptedReply{part("sa")});
    ScriptedServer &full
        = addServer("b", ScriptedReply{httpResponse(503, notRunField + "Retry-After: 10\r\n", "")});
    addQueryRoute({"a", "b"}, 0.5);
    Route &complete = addRoute("/complete/");
    complete.query = {{"a", "b"}, 2, 1};
    start();
    for (int i = 0; i < 3; ++i) {
        const WireResponse response = sendRequest("/all/1");
        EXPECT_EQ(response.result_int(), 200U);
        EXPECT_EQ(fieldOf(response, "X-Missing-Parts"), "1");
    }
    EXPECT_EQ(full.requests().size(), 1U);
    const TimePoint before = Clock::now();
    const WireResponse response = sendRequest("/complete/1");
    EXPECT_EQ(response.result_int(), 503U);
    EXPECT_LT(Clock::now() - before, 100ms);
    EXPECT_GT(std::stod(fieldOf(response, "Retry-After")), 9);
    EXPECT_EQ(full.requests().size(), 1U);
}

TEST_F(GatewayHoldTest, aHedgeAvoidsAServerThatWantsNoRequests)
{
    ScriptedServer &full
        = addServer("s", ScriptedReply{httpResponse(503, notRunField + "Retry-After: 10\r\n", "")});
    ScriptedServer &slow = addServer("s", {okResponse("slow"), 2ms});
    addSingleRoute(true);
    start();
    reach(full);
    slow.setScript([](const ServerRequest &) { return ScriptedReply{okResponse("slow"), 400ms}; });
    for (int i = 0; i < 3; ++i)
        EXPECT_EQ(sendRequest("/one/1").result_int(), 200U);
    EXPECT_EQ(full.requests().size(), 1U);
}

} // namespace
} // namespace gwt::test
