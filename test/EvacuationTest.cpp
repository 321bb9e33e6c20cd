#include "GatewayFixture.h"

namespace gwt::test {
namespace {

const std::set<std::string> evacuated{"b"};

/// Guards against sends to backend servers of an availability zone that is evacuated.
class EvacuationTest : public GatewayTest
{
protected:
    ScriptedServer &addServerOf(const std::string &zone, ScriptedReply reply)
    {
        ScriptedServer &server = addServer("s", reply);
        m_entries.back().availabilityZone = zone;
        return server;
    }
    void startWith(bool isIdempotent)
    {
        addSingleRoute(isIdempotent);
        start();
    }
};

TEST_F(EvacuationTest, theZoneGetsRequestsOnlyBeforeAndAfter)
{
    ScriptedServer &server = addServerOf("b", {okResponse("b")});
    startWith(true);
    EXPECT_EQ(sendRequest("/one/1").result_int(), 200U);
    m_core.onEvacuations(evacuated);
    const WireResponse refused = sendRequest("/one/1");
    EXPECT_EQ(refused.result_int(), 503U);
    EXPECT_FALSE(fieldOf(refused, "Retry-After").empty());
    EXPECT_EQ(server.requests().size(), 1U);
    m_core.onEvacuations({});
    EXPECT_EQ(sendRequest("/one/1").result_int(), 200U);
}

TEST_F(EvacuationTest, aServerThatRegistersInTheZoneGetsNothing)
{
    ScriptedServer &late = addServerOf("b", {okResponse("b")});
    const BackendEntry entry = m_entries.back();
    m_entries.pop_back();
    startWith(true);
    m_core.onEvacuations(evacuated);
    m_core.onBackendChanges({{entry.id, entry}});
    EXPECT_EQ(sendRequest("/one/1").result_int(), 503U);
    EXPECT_TRUE(late.requests().empty());
}

TEST_F(EvacuationTest, aShardWithServersOnlyInTheZoneIsMissing)
{
    addServer("one", {okResponse(R"({"hits":[]})")});
    ScriptedServer &server = addServer("two", {okResponse(R"({"hits":[]})")});
    m_entries.back().availabilityZone = "b";
    addQueryRoute({"one", "two"}, 1);
    start();
    m_core.onEvacuations(evacuated);
    EXPECT_EQ(sendRequest("/all/1").result_int(), 503U);
    EXPECT_TRUE(server.requests().empty());
}

TEST_F(EvacuationTest, aQueuedAttemptIsNotSentToTheZone)
{
    ScriptedServer &server = addServerOf("b", {okResponse("b"), 600ms});
    m_config.services.push_back({"s", "/health", 2}); // one connection
    startWith(true);
    const auto first = connect();
    const auto second = connect();
    first->exchange(request("/one/1"), false, nullptr, [](const Outcome<WireResponse> &) {});
    ASSERT_TRUE(runUntil(m_context, [&] { return server.requests().size() == 1; }));
    unsigned status = 0;
    second->exchange(request("/one/2"), false, nullptr, [&](const Outcome<WireResponse> &outcome) {
        status = isOk(outcome) ? valueOf(outcome).result_int() : 1;
    });
    runFor(50ms);
    ASSERT_EQ(status, 0U);
    m_core.onEvacuations(evacuated);
    EXPECT_TRUE(runUntil(
        m_context, [&] { return status == 503; }, 200ms));
    runFor(700ms);
    EXPECT_EQ(server.requests().size(), 1U);
}

struct FurtherSendCase
{
    std::string name;
    ScriptedReply first; ///< of the only server outside the zone
    bool isIdempotent;
};

class FurtherSendTest : public EvacuationTest, public testing::WithParamInterface<FurtherSendCase>
{ };

TEST_P(FurtherSendTest, retriesAndHedgesDoNotGoToTheZone)
{
    ScriptedServer &first = addServerOf("a", GetParam().first);
    ScriptedServer &other = addServerOf("b", {okResponse("b")});
    startWith(GetParam().isIdempotent);
    m_core.onEvacuations(evacuated);
    for (int i = 0; i < 3; ++i)
        sendRequest("/one/1");
    EXPECT_FALSE(first.requests().empty());
    EXPECT_TRUE(other.requests().empty());
    // The rows are such that the server in the zone gets further sends otherwise.
    m_core.onEvacuations({});
    for (int i = 0; i < 20 && other.requests().empty(); ++i)
        sendRequest("/one/1");
    EXPECT_FALSE(other.requests().empty());
}

INSTANTIATE_TEST_SUITE_P(
    Sends, FurtherSendTest,
    testing::Values(FurtherSendCase{"hedge", {okResponse("a"), 900ms}, true},
                    FurtherSendCase{
                        "retryOfRefusal", {httpResponse(503, "X-Not-Executed: 1\r\n", "")}, false},
                    FurtherSendCase{"retryOfFailure", {"", 0ms, true}, true}),
    [](const auto &info) { return info.param.name; });

} // namespace
} // namespace gwt::test
