#include "GatewayFixture.h"

namespace gwt::test {
namespace {

/// Guards against what goes wrong where a connection is used for more than one request.
using GatewayReuseTest = GatewayTest;

// A backend server refuses a request and sends the refusal a second time, when the retry of the
// same request is already under way on the same connection. The request id does not tell them
// apart.
TEST_F(GatewayReuseTest, aSecondCopyOfARefusalIsNotTakenForTheAnswerToTheRetry)
{
    const std::string refusal
        = httpResponse(503, "X-Not-Executed: 1\r\nX-Request-Id: id-1\r\n", "");
    const std::string answer = okResponse("ran", signatureField + "X-Request-Id: id-1\r\n");
    ScriptedServer *server = nullptr;
    int requests = 0;
    server = &addServer("s", [&](const ServerRequest &) {
        if (++requests == 1)
            return ScriptedReply{refusal};
        const bool isSameConnection = server->accepted() == 1;
        return ScriptedReply{isSameConnection ? refusal + answer : answer, 5ms};
    });
    addSingleRoute(false);
    start();
    const WireResponse response = sendRequest("/one/1");
    EXPECT_EQ(requests, 2);
    EXPECT_EQ(response.result_int(), 200U) << "refused as not run, but it has run";
}

// A caller's request arrives on an idle connection just before a stopping process closes it.
TEST_F(GatewayReuseTest, aRequestThatArrivedUnreadIsAnsweredWhenIdleConnectionsAreClosed)
{
    addServer("s", {okResponse("ok")});
    addSingleRoute(true);
    start();
    const auto caller = connect();
    std::optional<Outcome<WireResponse>> result;
    const auto onAnswer = [&](Outcome<WireResponse> outcome) { result = std::move(outcome); };
    caller->exchange(request("/one/1"), false, nullptr, onAnswer);
    ASSERT_TRUE(runUntil(m_context, [&] { return result.has_value(); }));
    runFor(5ms);
    m_callerServer.drain();
    result.reset();
    caller->exchange(request("/one/1"), false, nullptr, onAnswer); // sent, but not read yet
    m_callerServer.closeIdle();
    EXPECT_FALSE(m_callerServer.isDrained()) << "the process would end now";
    ASSERT_TRUE(runUntil(m_context, [&] { return result.has_value(); }));
    ASSERT_TRUE(isOk(*result)) << errorOf(*result).reason;
    EXPECT_EQ(valueOf(*result).result_int(), 200U);
    EXPECT_EQ(fieldOf(valueOf(*result), "Connection"), "close");
}

TEST_F(GatewayReuseTest, anIdleConnectionIsClosedByAStoppingProcess)
{
    addServer("s", {okResponse("ok")});
    addSingleRoute(true);
    start();
    const auto caller = connect();
    bool isClosed = false;
    caller->onIdleClose([&] { isClosed = true; });
    runFor(5ms);
    m_callerServer.drain();
    m_callerServer.closeIdle();
    EXPECT_TRUE(runUntil(
        m_context, [&] { return isClosed; }, 1s));
}

} // namespace
} // namespace gwt::test
