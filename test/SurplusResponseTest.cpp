#include "GatewayFixture.h"

namespace gwt::test {
namespace {

const std::string notRunField = "X-Not-Executed: 1\r\n";

std::string idField(const ServerRequest &request)
{
    return "X-Request-Id: " + std::string(request["X-Request-Id"]) + "\r\n";
}

struct SurplusCase
{
    std::string name;
    std::string surplus; ///< without the id of a request
    bool echoesIds; ///< the server's own responses carry the ids
    bool isIdempotent;
    unsigned status;
};

class SurplusResponseTest : public GatewayTest, public testing::WithParamInterface<SurplusCase>
{ };

// Guards against bytes behind an earlier response that are taken for the response to the next
// request: a refusal would send a non-idempotent request to a second server after the first has run
// it, and anything else would reach the wrong caller.
TEST_P(SurplusResponseTest, bytesBehindAResponseAnswerNoOtherRequest)
{
    const SurplusCase &surplus = GetParam();
    std::map<std::string, int> executions;
    const auto script = [&](const ServerRequest &request) {
        const std::string id(request["X-Request-Id"]);
        ++executions[id];
        const std::string fields = signatureField + (surplus.echoesIds ? idField(request) : "");
        const std::string answer = okResponse("of " + id, fields);
        // They arrive once the next request is on the connection.
        return id == "id-2" && executions[id] == 1 ? ScriptedReply{surplus.surplus + answer}
                                                   : ScriptedReply{answer};
    };
    addServer("s", script);
    addServer("s", script);
    addSingleRoute(surplus.isIdempotent);
    start();
    const auto send = [&](const std::string &id) {
        const auto outcome = exchange("GET /one/1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id
                                      + "\r\nX-Deadline-Ms: 500\r\n\r\n");
        return isOk(outcome) ? valueOf(outcome) : WireResponse{};
    };
    EXPECT_EQ(send("id-1").body(), "of id-1");
    const WireResponse response = send("id-2");
    EXPECT_EQ(response.result_int(), surplus.status);
    EXPECT_TRUE(response.result_int() != 200U || response.body() == "of id-2") << response.body();
    if (!surplus.isIdempotent) {
        EXPECT_EQ(executions["id-2"], 1);
    }
    EXPECT_EQ(send("id-3").body(), "of id-3");
}

INSTANTIATE_TEST_SUITE_P(
    Surplus, SurplusResponseTest,
    testing::Values(
        SurplusCase{"refusal", httpResponse(503, notRunField, ""), true, false, 200},
        SurplusCase{"refusalIdempotent", httpResponse(503, notRunField, ""), true, true, 200},
        SurplusCase{"misdirected", httpResponse(421, "", ""), true, false, 200},
        SurplusCase{"failure", httpResponse(500, signatureField, "x"), true, false, 200},
        SurplusCase{"success", okResponse("other"), true, false, 200},
        SurplusCase{"refusalWithoutIds", httpResponse(503, notRunField, ""), false, false, 200},
        SurplusCase{"misdirectedWithoutIds", httpResponse(421, "", ""), false, false, 200}),
    [](const auto &info) { return info.param.name; });

struct RefusalCase
{
    std::string name;
    bool echoesIds; ///< of the server that refuses
    bool isOnNewConnection;
    unsigned status;
};

class ReusedRefusalTest : public GatewayTest, public testing::WithParamInterface<RefusalCase>
{ };

// Guards against refusals that are no longer believed, and requests that are not retried.
TEST_P(ReusedRefusalTest, aRefusalThatBelongsToTheRequestIsRetriedElsewhere)
{
    const RefusalCase &refusal = GetParam();
    int refusals = 0;
    const auto script = [&](const ServerRequest &request) {
        const std::string id = refusal.echoesIds ? idField(request) : "";
        const bool refuses = request["X-Request-Id"] == "id-1" && refusals == 0;
        refusals += refuses ? 1 : 0;
        return refuses ? ScriptedReply{httpResponse(503, notRunField + id, "")}
                       : ScriptedReply{okResponse("ok", signatureField + id)};
    };
    addServer("s", script);
    addServer("s", script);
    addSingleRoute(false);
    start();
    if (!refusal.isOnNewConnection) {
        // Both servers have a connection in use before.
        for (int i = 0; i < 2; ++i)
            exchange("GET /one/1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: id-0\r\n\r\n");
    }
    EXPECT_EQ(sendRequest("/one/1", "X-Deadline-Ms: 500\r\n").result_int(), refusal.status);
    EXPECT_EQ(refusals, 1);
}

INSTANTIATE_TEST_SUITE_P(Refusals, ReusedRefusalTest,
                         testing::Values(RefusalCase{"withId", true, false, 200},
                                         RefusalCase{"withIdOnANewConnection", true, true, 200},
                                         RefusalCase{"withoutIdOnANewConnection", false, true,
                                                     200}),
                         [](const auto &info) { return info.param.name; });

} // namespace
} // namespace gwt::test
