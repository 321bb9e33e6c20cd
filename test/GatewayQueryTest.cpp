#include "GatewayFixture.h"

namespace gwt::test {
namespace {

using GatewayQueryTest = GatewayTest;

std::string record(char first)
{
    return std::string(1, first) + std::string(15, '0');
}

std::string signedPart(const std::string &signature, const std::string &records)
{
    return okResponse(records, "X-Server-Stamp: " + signature + "\r\n");
}

TEST_F(GatewayQueryTest, aQueryMergesAllShards)
{
    addServer("a", {signedPart("sa", record('1') + record('4'))});
    addServer("b", {signedPart("sb", record('3'))});
    addQueryRoute({"a", "b"}, 1);
    start();
    const WireResponse response = sendRequest("/all/1");
    EXPECT_EQ(response.result_int(), 200U);
    EXPECT_EQ(response.body(), record('4') + record('3'));
    EXPECT_EQ(fieldOf(response, "X-Missing-Parts"), "0");
    const std::string parts = fieldOf(response, "X-Part-Stamps");
    EXPECT_TRUE(parts == "sa, sb" || parts == "sb, sa") << parts;
}

TEST_F(GatewayQueryTest, aStragglerIsOmittedJustBeforeTheTargetAndReported)
{
    addServer("a", {signedPart("sa", record('1'))});
    addServer("b", {signedPart("sb", record('3')), 5s});
    addQueryRoute({"a", "b"}, 0.5);
    start();
    const WireResponse response = sendRequest("/all/1");
    EXPECT_EQ(response.result_int(), 200U);
    EXPECT_EQ(response.body(), record('1'));
    EXPECT_EQ(fieldOf(response, "X-Missing-Parts"), "1");
    EXPECT_EQ(fieldOf(response, "X-Part-Stamps"), "sa");
}

TEST_F(GatewayQueryTest, aSilentServersShardIsAnsweredByAHedgeToAnotherServer)
{
    int requests = 0;
    const auto script = [&](const ServerRequest &) {
        return ++requests == 1 ? ScriptedReply{""} : ScriptedReply{signedPart("s", record('1'))};
    };
    addServer("a", script);
    addServer("a", script);
    addQueryRoute({"a"}, 1);
    start();
    EXPECT_EQ(sendRequest("/all/1").result_int(), 200U);
    EXPECT_EQ(requests, 2);
}

TEST_F(GatewayQueryTest, aLateQueryIsStillAnsweredByAServerTooSlowForItsTarget)
{
    addServer("a", {signedPart("s", record('1')), 90ms});
    addQueryRoute({"a"}, 1);
    m_config.routes.back().target = 100ms;
    start();
    for (int i = 0; i < 12; ++i)
        sendRequest("/all/1"); // until the server is rated as slow
    ScriptedServer &silent = addServer("a", ScriptedReply{""});
    m_core.onBackendChanges({{m_entries.back().id, m_entries.back()}});
    // Admission refuses some queries because the server is so slow; the first admitted one decides.
    constexpr int tries = 20;
    WireResponse answer;
    for (int i = 0; i < tries && silent.requests().empty(); ++i)
        answer = sendRequest("/all/1");
    EXPECT_EQ(answer.result_int(), 200U);
    EXPECT_EQ(silent.requests().size(), 1U);
}

TEST_F(GatewayQueryTest, aQueryThatCannotReachItsMinimumCoverageIsRefusedBeforeAnythingRuns)
{
    ScriptedServer &server = addServer("a", {signedPart("sa", record('1'))});
    addQueryRoute({"a", "b", "c"}, 0.6);
    start();
    const WireResponse response = sendRequest("/all/1");
    EXPECT_EQ(response.result_int(), 503U);
    EXPECT_FALSE(fieldOf(response, "Retry-After").empty());
    EXPECT_TRUE(server.requests().empty());
}

TEST_F(GatewayQueryTest, aSignedServerErrorIsNotMerged)
{
    addServer("a", {signedPart("sa", record('1'))});
    addServer("b", {httpResponse(500, "X-Server-Stamp: sb\r\n", record('9'))});
    addQueryRoute({"a", "b"}, 0.5);
    start();
    const WireResponse response = sendRequest("/all/1");
    EXPECT_EQ(fieldOf(response, "X-Part-Stamps"), "sa");
    EXPECT_EQ(response.body(), record('1'));
}

TEST_F(GatewayQueryTest, aCallersDisconnectAlsoCancelsAttemptsThatLostToAHedge)
{
    // Shard a: the first attempt stays in flight, the hedge wins. Shard b keeps the query open.
    int requests = 0;
    const auto answerSecondRequest = [&](const ServerRequest &) {
        return ++requests == 1 ? ScriptedReply{""} : ScriptedReply{signedPart("s", record('1'))};
    };
    ScriptedServer &first = addServer("a", answerSecondRequest);
    ScriptedServer &second = addServer("a", answerSecondRequest);
    ScriptedServer &silent = addServer("b", {""});
    addQueryRoute({"a", "b"}, 1);
    start();
    const auto caller = connect();
    caller->exchange(request("/all/1"), false, nullptr, [](const Outcome<WireResponse> &) {});
    ASSERT_TRUE(runUntil(
        m_context, [&] { return requests == 2; }, 1s));
    runFor(20ms);
    caller->close();
    const auto closed = [&] {
        return first.closedByPeer() + second.closedByPeer() == 1 && silent.closedByPeer() == 1;
    };
    EXPECT_TRUE(runUntil(m_context, closed, 1s));
}

TEST_F(GatewayQueryTest, overdueQueriesAreServedOneAtATime)
{
    ScriptedServer &server = addServer("a", {okResponse("0123456789abcdef"), 30ms});
    addQueryRoute({"a"}, 1);
    start();
    for (int i = 0; i < 8; ++i)
        ASSERT_EQ(sendRequest("/all/1", "X-Deadline-Ms: 2500\r\n").result_int(), 200U);
    const std::size_t before = server.requests().size();
    constexpr std::size_t callers = 4;
    std::vector<std::shared_ptr<ClientConnection>> connections;
    for (std::size_t i = 0; i < callers; ++i)
        connections.push_back(connect());
    std::size_t answered = 0;
    for (const auto &connection : connections) {
        connection->exchange(request("/all/1", "X-Deadline-Ms: 1500\r\n"), false, nullptr,
                             [&](Outcome<WireResponse> outcome) {
                                 ++answered;
                                 ASSERT_TRUE(isOk(outcome));
                                 EXPECT_EQ(valueOf(outcome).result_int(), 200U);
                                 // The next overdue query, and the first-time query below.
                                 EXPECT_LE(server.requests().size(), before + answered + 2);
                             });
    }
    // A first-time query does not wait for the overdue ones.
    EXPECT_EQ(sendRequest("/all/1", "X-Deadline-Ms: 2500\r\n").result_int(), 200U);
    EXPECT_LT(answered, callers);
    EXPECT_TRUE(runUntil(m_context, [&] { return answered == callers; }));
}

TEST_F(GatewayQueryTest, overdueQueriesAreServedAtOnceAfterARefusal)
{
    addServer("a", {okResponse("0123456789abcdef"), 30ms});
    addQueryRoute({"a", "b"}, 1);
    m_config.services.push_back({"b", "/health", 50});
    start();
    ASSERT_EQ(sendRequest("/all/1", "X-Deadline-Ms: 2500\r\n").result_int(), 503U);
    ScriptedServer &server = addServer("b", {okResponse("0123456789abcdef"), 30ms});
    m_core.onBackends(m_entries);
    constexpr std::size_t callers = 3;
    std::vector<std::shared_ptr<ClientConnection>> connections;
    for (std::size_t i = 0; i < callers; ++i)
        connections.push_back(connect());
    std::size_t answered = 0;
    for (const auto &connection : connections) {
        connection->exchange(request("/all/1", "X-Deadline-Ms: 1500\r\n"), false, nullptr,
                             [&](const Outcome<WireResponse> &) { ++answered; });
    }
    ASSERT_TRUE(runUntil(m_context, [&] { return server.requests().size() == callers; }));
    EXPECT_EQ(answered, 0U);
    EXPECT_TRUE(runUntil(m_context, [&] { return answered == callers; }));
}

TEST_F(GatewayQueryTest, anOverdueQueryIsServedInTimeBehindASlowOne)
{
    ScriptedServer &server = addServer("a", {okResponse("0123456789abcdef")});
    addQueryRoute({"a"}, 1);
    start();
    for (int i = 0; i < 8; ++i)
        ASSERT_EQ(sendRequest("/all/1", "X-Deadline-Ms: 2500\r\n").result_int(), 200U);
    server.setScript([](const ServerRequest &asked) {
        return asked.target() == "/all/silent" ? ScriptedReply{}
                                               : ScriptedReply{okResponse("0123456789abcdef")};
    });
    const std::size_t before = server.requests().size();
    const auto silent = connect();
    bool hasEnded = false;
    silent->exchange(request("/all/silent", "X-Deadline-Ms: 2000\r\n"), false, nullptr,
                     [&](const Outcome<WireResponse> &) { hasEnded = true; });
    ASSERT_TRUE(runUntil(m_context, [&] { return server.requests().size() > before; }));
    // This query has half a second left, the silent one two seconds.
    EXPECT_EQ(sendRequest("/all/1", "X-Deadline-Ms: 500\r\n").result_int(), 200U);
    EXPECT_FALSE(hasEnded);
    silent->close();
}

TEST_F(GatewayQueryTest, aFloodIsRefusedAtOnceAndReachesNoServer)
{
    ScriptedServer &server = addServer("a", {okResponse("0123456789abcdef"), 100ms});
    addQueryRoute({"a"}, 1);
    start();
    constexpr int callers = 12;
    std::map<unsigned, int> statuses;
    std::vector<std::shared_ptr<ClientConnection>> connections;
    connections.reserve(callers);
    for (int i = 0; i < callers; ++i)
        connections.push_back(connect());
    int answered = 0;
    for (const auto &connection : connections) {
        connection->exchange(request("/all/1"), false, nullptr, [&](Outcome<WireResponse> outcome) {
            ++answered;
            ASSERT_TRUE(isOk(outcome));
            ++statuses[valueOf(outcome).result_int()];
            const bool hasRetryAfter = !fieldOf(valueOf(outcome), "Retry-After").empty();
            EXPECT_EQ(hasRetryAfter, valueOf(outcome).result_int() == 503);
        });
    }
    ASSERT_TRUE(runUntil(m_context, [&] { return answered == callers; }));
    const int admitted = AdaptiveAdmissionRules().minUnansweredLimit;
    EXPECT_EQ(statuses[200], admitted);
    EXPECT_EQ(statuses[503], callers - admitted);
    EXPECT_EQ(server.requests().size(), static_cast<std::size_t>(admitted));
}

} // namespace
} // namespace gwt::test
