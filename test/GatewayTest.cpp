#include "GatewayFixture.h"

namespace gwt::test {
namespace {

using boost::asio::ip::tcp;

const std::string notExecutedField = "X-Not-Executed: 1\r\n";

TEST_F(GatewayTest, withoutAConfigurationARequestIsAnswered503AndNot404)
{
    const WireResponse response = sendRequest("/one/1");
    EXPECT_EQ(response.result_int(), 503U);
    EXPECT_FALSE(fieldOf(response, "Retry-After").empty());
}

TEST_F(GatewayTest, aRequestAndItsResponseAreForwardedWithoutHopByHopFields)
{
    ScriptedServer &server = addServer(
        "s", {okResponse("bytes", signatureField + "X-Own: 5\r\nKeep-Alive: timeout=9\r\n")});
    addSingleRoute(true);
    start();
    const WireResponse response
        = sendRequest("/one/1?q=%20",
                      "X-Deadline-Ms: 900\r\nX-Other: 7\r\nConnection: X-Hop\r\n"
                      "X-Hop: 1\r\n");
    EXPECT_EQ(response.result_int(), 200U);
    EXPECT_EQ(response.body(), "bytes");
    EXPECT_EQ(fieldOf(response, "X-Own"), "5");
    EXPECT_EQ(fieldOf(response, "X-Server-Stamp"), "signed");
    ASSERT_EQ(server.requests().size(), 1U);
    const ServerRequest &forwarded = server.requests()[0];
    EXPECT_EQ(forwarded.target(), "/one/1?q=%20");
    EXPECT_EQ(forwarded["X-Request-Id"], "id-1");
    EXPECT_EQ(forwarded["X-Other"], "7");
    EXPECT_EQ(forwarded["X-Target-Instance"], "i-1");
    EXPECT_EQ(forwarded.count("X-Hop"), 0U);
    EXPECT_LE(std::stoi(std::string(forwarded["X-Deadline-Ms"])), 900);
    EXPECT_GT(std::stoi(std::string(forwarded["X-Deadline-Ms"])), 500);
}

TEST_F(GatewayTest, aChunkedBodyIsForwardedWhole)
{
    ScriptedServer &server = addServer("s", {okResponse("ok")});
    addSingleRoute(true);
    start();
    const std::string head = "POST /one/1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: id-1\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n";
    const auto outcome = exchange(head + "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    ASSERT_TRUE(isOk(outcome));
    ASSERT_EQ(server.requests().size(), 1U);
    EXPECT_EQ(server.requests()[0].body(), "abcde");
    EXPECT_EQ(server.requests()[0].method_string(), "POST");
}

struct BadRequestCase
{
    std::string name;
    std::string bytes;
    unsigned status;
};

class GatewayBadRequestTest : public GatewayTest, public testing::WithParamInterface<BadRequestCase>
{ };

TEST_P(GatewayBadRequestTest, isRejectedAndNotForwarded)
{
    ScriptedServer &server = addServer("s", {okResponse("ok")});
    addSingleRoute(true);
    m_config.limits.maxHeaderBytes = 1000;
    m_config.limits.maxBodyBytes = 100;
    start();
    const auto outcome = exchange(GetParam().bytes);
    ASSERT_TRUE(isOk(outcome));
    EXPECT_EQ(valueOf(outcome).result_int(), GetParam().status);
    EXPECT_TRUE(server.requests().empty());
}

const std::string postHead = "POST /one/1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: id-1\r\n";

INSTANTIATE_TEST_SUITE_P(
    Requests, GatewayBadRequestTest,
    testing::Values(
        BadRequestCase{"noHttp", "hello there\r\n\r\n", 400},
        BadRequestCase{"twoLengths", postHead + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
                       400},
        BadRequestCase{"lengthAndChunks",
                       postHead + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", 400},
        BadRequestCase{"badLength", postHead + "Content-Length: x\r\n\r\n", 400},
        BadRequestCase{"bodyOverTheLimit", postHead + "Content-Length: 101\r\n\r\n", 413},
        BadRequestCase{"headerOverTheLimit",
                       postHead + "X-Long: " + std::string(2000, 'a') + "\r\n\r\n", 431},
        BadRequestCase{"endlessChunkExtension",
                       postHead + "Transfer-Encoding: chunked\r\n\r\n3;" + std::string(6000, 'a'),
                       431},
        BadRequestCase{
            "endlessTrailer",
            postHead + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Long: " + std::string(6000, 'a'),
            431},
        BadRequestCase{"noId", "GET /one/1 HTTP/1.1\r\nHost: h\r\n\r\n", 400},
        BadRequestCase{"noRoute", "GET /two/1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: 1\r\n\r\n",
                       404}),
    [](const auto &info) { return info.param.name; });

struct StallCase
{
    std::string name;
    std::string bytes; ///< all that the caller sends
};

class GatewayStallTest : public GatewayTest, public testing::WithParamInterface<StallCase>
{ };

TEST_P(GatewayStallTest, anIncompleteRequestIsAnswered408)
{
    ScriptedServer &server = addServer("s", {okResponse("ok")});
    addSingleRoute(true);
    m_config.limits.headerTimeout = 30ms;
    m_config.limits.idleTimeout = 30ms;
    start();
    const auto outcome = exchange(GetParam().bytes);
    ASSERT_TRUE(isOk(outcome)) << errorOf(outcome).reason;
    EXPECT_EQ(valueOf(outcome).result_int(), 408U);
    EXPECT_EQ(fieldOf(valueOf(outcome), "Connection"), "close");
    EXPECT_TRUE(server.requests().empty());
}

INSTANTIATE_TEST_SUITE_P(
    Requests, GatewayStallTest,
    testing::Values(StallCase{"inTheHeader", postHead},
                    StallCase{"beforeTheBody", postHead + "Content-Length: 3\r\n\r\n"},
                    StallCase{"inTheBody", postHead + "Content-Length: 3\r\n\r\nab"},
                    StallCase{"inAChunk", postHead + "Transfer-Encoding: chunked\r\n\r\n3\r\na"}),
    [](const auto &info) { return info.param.name; });

TEST_F(GatewayTest, aBodyThatArrivesTooSlowlyIsAborted)
{
    ScriptedServer &server = addServer("s", {okResponse("ok")});
    addSingleRoute(true);
    m_config.limits.idleTimeout = 300ms;
    start();
    tcp::socket caller = connectRaw();
    caller.send(boost::asio::buffer(postHead + "Content-Length: 9999\r\n\r\n"));
    TimePoint next = Clock::now();
    const auto isAborted = [&] {
        boost::system::error_code failure;
        if (Clock::now() >= next) {
            caller.send(boost::asio::buffer("x", 1), 0, failure);
            next += 10ms;
        }
        return failure || caller.available() > 0;
    };
    ASSERT_TRUE(runUntil(m_context, isAborted));
    EXPECT_TRUE(server.requests().empty());
}

TEST_F(GatewayTest, aCallerThatDoesNotReadItsResponseIsDisconnected)
{
    addServer("s", {okResponse(std::string(6U << 20U, 'x'))});
    addSingleRoute(true);
    m_config.limits.idleTimeout = 30ms;
    start();
    tcp::socket caller = connectRaw();
    caller.send(boost::asio::buffer(request("/one/1")));
    ASSERT_TRUE(runUntil(m_context, [&] { return caller.available() > 0; }));
    EXPECT_TRUE(runUntil(m_context, [&] { return m_callerServer.connections() == 0; }));
}

struct FailureCase
{
    std::string name;
    ScriptedReply reply; ///< of the server that gets the first send
    bool isIdempotent;
    unsigned status; ///< of the response to the caller
    int runsElsewhere; ///< requests that reach the other server
};

class GatewayFailureTest : public GatewayTest, public testing::WithParamInterface<FailureCase>
{ };

TEST_P(GatewayFailureTest, aRequestIsRetriedOnlyIfItMayRunAgain)
{
    // The server that gets the first send replies as the case says; the other one succeeds.
    int requests = 0;
    const auto script = [&](const ServerRequest &) {
        return ++requests == 1 ? GetParam().reply : ScriptedReply{okResponse("ok")};
    };
    addServer("s", script);
    addServer("s", script);
    addSingleRoute(GetParam().isIdempotent);
    start();
    const WireResponse response = sendRequest("/one/1", "X-Deadline-Ms: 300\r\n");
    EXPECT_EQ(response.result_int(), GetParam().status);
    EXPECT_EQ(requests, 1 + GetParam().runsElsewhere);
    EXPECT_EQ(fieldOf(response, "Retry-After").empty(), response.result_int() != 503);
}

const std::string signedFailure = httpResponse(500, signatureField, "failed");

INSTANTIATE_TEST_SUITE_P(
    FirstServer, GatewayFailureTest,
    testing::Values(
        FailureCase{"notRunIdempotent", {httpResponse(503, notExecutedField, "")}, true, 200, 1},
        FailureCase{
            "notRunNonIdempotent", {httpResponse(503, notExecutedField, "")}, false, 200, 1},
        FailureCase{"otherServerAtTheAddress", {httpResponse(421, "", "")}, false, 200, 1},
        FailureCase{"errorIdempotent", {signedFailure}, true, 200, 1},
        FailureCase{"errorNonIdempotent", {signedFailure}, false, 500, 0},
        FailureCase{"closedIdempotent", {"", 0ms, true}, true, 200, 1},
        FailureCase{"closedNonIdempotent", {"", 0ms, true}, false, 502, 0},
        FailureCase{
            "truncatedNonIdempotent",
            {"HTTP/1.1 200 OK\r\n" + signatureField + "Content-Length: 9\r\n\r\nabc", 0ms, true},
            false,
            502,
            0},
        FailureCase{"noHttpIdempotent", {"\x01\x02garbage\r\n\r\n"}, true, 200, 1},
        FailureCase{"noHttpNonIdempotent", {"\x01\x02garbage\r\n\r\n"}, false, 502, 0},
        FailureCase{
            "endlessHeader", {"HTTP/1.1 200 OK\r\n", 0ms, false, "X-Long: a\r\n"}, true, 200, 1},
        FailureCase{
            "endlessBody",
            {"HTTP/1.1 200 OK\r\n" + signatureField + "\r\n", 0ms, false, std::string(4096, 'x')},
            true,
            200,
            1},
        FailureCase{
            "endlessBodyNonIdempotent",
            {"HTTP/1.1 200 OK\r\n" + signatureField + "\r\n", 0ms, false, std::string(4096, 'x')},
            false,
            502,
            0},
        FailureCase{
            "endlessTrailer",
            {"HTTP/1.1 200 OK\r\n" + signatureField + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
             0ms, false, "X-Long: a\r\n"},
            true,
            200,
            1},
        FailureCase{"silentNonIdempotent", {""}, false, 504, 0},
        FailureCase{"successWithoutSignatureNonIdempotent", {okResponse("x", "")}, false, 502, 0}),
    [](const auto &info) { return info.param.name; });

TEST_F(GatewayTest, aStrayResponseIsNotMatchedToTheNextRequest)
{
    // A second response to the first request arrives ahead of the response to the next one.
    int requests = 0;
    addServer("s", [&](const ServerRequest &) {
        const std::string own = "X-Request-Id: id-1\r\n" + signatureField;
        const std::string old = "X-Request-Id: id-0\r\n" + signatureField;
        return ++requests == 1
            ? ScriptedReply{okResponse("first", own)}
            : ScriptedReply{okResponse("stray", old) + okResponse("second", own)};
    });
    addSingleRoute(true);
    start();
    EXPECT_EQ(sendRequest("/one/1").body(), "first");
    EXPECT_EQ(sendRequest("/one/2").body(), "second");
}

TEST_F(GatewayTest, aBodyWithoutALengthEndsWhenTheConnectionCloses)
{
    addServer("s", {"HTTP/1.1 200 OK\r\n" + signatureField + "\r\nwhole", 0ms, true});
    addSingleRoute(true);
    start();
    EXPECT_EQ(sendRequest("/one/1").body(), "whole");
}

TEST_F(GatewayTest, aDrainingServerGetsNoNewRequests)
{
    ScriptedServer &first = addServer("s", {okResponse("a")});
    ScriptedServer &second = addServer("s", {okResponse("b")});
    addSingleRoute(true);
    m_entries[0].isDraining = true;
    start();
    for (int i = 0; i < 5; ++i)
        EXPECT_EQ(sendRequest("/one/1").body(), "b");
    m_core.onBackendChanges({{"i-2", std::nullopt}});
    EXPECT_EQ(sendRequest("/one/1").result_int(), 503U);
    EXPECT_TRUE(first.requests().empty());
    EXPECT_EQ(second.requests().size(), 5U);
}

TEST_F(GatewayTest, aServerAtItsConnectionLimitIsRetriedWithPauses)
{
    ScriptedServer &server = addServer("s", {okResponse("ok")});
    server.setResetsNewConnections(true);
    addSingleRoute(true);
    start();
    m_timers.after(150ms, [&] { server.setResetsNewConnections(false); });
    EXPECT_EQ(sendRequest("/one/1", "X-Deadline-Ms: 1500\r\n").result_int(), 200U);
    EXPECT_LT(server.accepted(), 8) << "connection attempts must be paced";
}

TEST_F(GatewayTest, theStatusIs502IfAnEarlierSendMayHaveRun)
{
    // The first connection is closed without a response, as by a server at its connection limit or
    // one that ran the request; all later sends are refused.
    int requests = 0;
    addServer("s", [&](const ServerRequest &) {
        return ++requests == 1 ? ScriptedReply{"", 0ms, true}
                               : ScriptedReply{httpResponse(503, notExecutedField, "")};
    });
    addSingleRoute(true);
    start();
    EXPECT_EQ(sendRequest("/one/1", "X-Deadline-Ms: 600\r\n").result_int(), 502U);
    EXPECT_GT(requests, 1);
}

class GatewayQueueExpiryTest : public GatewayTest, public testing::WithParamInterface<const char *>
{ };

TEST_P(GatewayQueueExpiryTest, aRequestThatExpiresInTheQueueIsAnswered503)
{
    ScriptedServer &server = addServer("s", {okResponse("ok"), 400ms});
    addSingleRoute(true);
    addQueryRoute({"s"}, 1);
    m_config.services = {{"s", "/health", 1}}; // one connection for this process
    start();
    const auto first = connect();
    first->exchange(request("/one/1"), false, nullptr, [](const Outcome<WireResponse> &) {});
    ASSERT_TRUE(runUntil(m_context, [&] { return server.requests().size() == 1; }));
    const WireResponse refusal = sendRequest(GetParam(), "X-Deadline-Ms: 100\r\n");
    EXPECT_EQ(refusal.result_int(), 503U);
    EXPECT_FALSE(fieldOf(refusal, "Retry-After").empty());
    runFor(500ms);
    EXPECT_EQ(server.requests().size(), 1U);
}

INSTANTIATE_TEST_SUITE_P(All, GatewayQueueExpiryTest, testing::Values("/one/2", "/all/2"));

TEST_F(GatewayTest, aRequestThatCannotLeaveTheQueueInTimeIsRefusedAtOnce)
{
    ScriptedServer &server = addServer("s", {okResponse("ok"), 300ms});
    addSingleRoute(true);
    // With few samples a request is assumed to take a tenth of the target.
    m_config.routes.back().target = 2s;
    m_config.services = {{"s", "/health", 1}}; // one connection for this process
    start();
    constexpr int callerCount = 5;
    std::vector<std::shared_ptr<ClientConnection>> connections;
    std::vector<unsigned> statuses;
    connections.reserve(callerCount);
    for (int i = 0; i < callerCount; ++i)
        connections.push_back(connect());
    for (const auto &connection : connections) {
        connection->exchange(request("/one/1", "X-Deadline-Ms: 720\r\n"), false, nullptr,
                             [&](const Outcome<WireResponse> &outcome) {
                                 statuses.push_back(valueOf(outcome).result_int());
                             });
    }
    runFor(100ms);
    // One is in progress; two more can be answered before their deadline.
    EXPECT_EQ(statuses, std::vector<unsigned>({503U, 503U}));
    EXPECT_EQ(server.requests().size(), 1U);
    runUntil(m_context, [&] { return statuses.size() == callerCount; });
}

TEST_F(GatewayTest, anOlderConfigurationIsIgnored)
{
    addServer("s", {okResponse("new")});
    addSingleRoute(true);
    m_config.version = 5;
    start();
    RoutingConfig older;
    older.version = 4;
    m_core.onConfig(older);
    EXPECT_EQ(sendRequest("/one/1").body(), "new");
}

TEST_F(GatewayTest, aDrainingGatewayRespondsAndThenClosesTheConnection)
{
    addServer("s", {okResponse("ok"), 50ms});
    addSingleRoute(true);
    start();
    const auto caller = connect();
    std::optional<Outcome<WireResponse>> result;
    caller->exchange(request("/one/1"), false, nullptr,
                     [&](Outcome<WireResponse> outcome) { result = std::move(outcome); });
    runFor(10ms);
    m_callerServer.drain();
    m_callerServer.closeIdle();
    ASSERT_TRUE(runUntil(m_context, [&] { return result.has_value(); }));
    ASSERT_TRUE(isOk(*result));
    EXPECT_EQ(fieldOf(valueOf(*result), "Connection"), "close");
    EXPECT_TRUE(m_callerServer.isDrained() || m_callerServer.connections() <= 1);
}

} // namespace
} // namespace gwt::test
