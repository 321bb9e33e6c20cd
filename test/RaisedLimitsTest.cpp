#include "GatewayFixture.h"

namespace gwt::test {
namespace {

struct LimitsCase
{
    std::string name;
    RequestLimits before;
    RequestLimits after;
    std::string fields; ///< of the request after the change
    std::size_t bodyBytes; ///< of that request
    Milliseconds pause; ///< between the change and that request
};

RequestLimits limits(std::size_t headerBytes, std::size_t bodyBytes, Milliseconds idleTimeout)
{
    return {{headerBytes, bodyBytes}, 3000ms, idleTimeout};
}

class RaisedLimitsTest : public GatewayTest, public testing::WithParamInterface<LimitsCase>
{ };

// Guards against a request that is held to the limits of an older configuration because its
// connection was idle when they changed.
TEST_P(RaisedLimitsTest, anIdleConnectionFollowsTheConfigurationInForce)
{
    const LimitsCase &change = GetParam();
    addServer("s", {okResponse("ok")});
    addSingleRoute(true);
    m_config.limits = change.before;
    start();
    const auto caller = connect();
    bool isClosed = false;
    caller->onIdleClose([&] { isClosed = true; });
    const auto send = [&](const std::string &bytes) {
        std::optional<unsigned> status;
        caller->exchange(bytes, false, nullptr, [&](const Outcome<WireResponse> &outcome) {
            status = isOk(outcome) ? valueOf(outcome).result_int() : 0;
        });
        runUntil(m_context, [&] { return status.has_value(); });
        return status;
    };
    EXPECT_EQ(send(request("/one/1")), 200U);
    runFor(5ms);
    m_config.version = 2;
    m_config.limits = change.after;
    m_core.onConfig(m_config);
    runFor(change.pause);
    ASSERT_FALSE(isClosed);
    const std::string length
        = "Content-Length: " + std::to_string(change.bodyBytes) + "\r\n" + change.fields;
    EXPECT_EQ(send(request("/one/1", length, std::string(change.bodyBytes, 'b'))), 200U);
}

INSTANTIATE_TEST_SUITE_P(
    Limits, RaisedLimitsTest,
    testing::Values(LimitsCase{"body", limits(16'384, 1000, 15s), limits(16'384, 50'000, 15s), "",
                               40'000, 0ms},
                    LimitsCase{"header", limits(1000, 1000, 15s), limits(6000, 1000, 15s),
                               "X-Session: " + std::string(5000, 's') + "\r\n", 0, 0ms},
                    LimitsCase{"idleTimeout", limits(16'384, 1000, 100ms),
                               limits(16'384, 1000, 400ms), "", 0, 300ms}),
    [](const auto &info) { return info.param.name; });

struct StartCase
{
    std::string name;
    std::string fields;
    std::size_t bodyBytes;
};

class StartLimitsTest : public GatewayTest, public testing::WithParamInterface<StartCase>
{ };

// Guards against a process that denies a request for good, by limits that the configuration, which
// it doesn't know yet, may raise.
TEST_P(StartLimitsTest, aLargeRequestIsRefusedForNowWithoutAConfiguration)
{
    const std::string length
        = "Content-Length: " + std::to_string(GetParam().bodyBytes) + "\r\n" + GetParam().fields;
    const std::string bytes = request("/one/1", length, std::string(GetParam().bodyBytes, 'b'));
    const auto before = exchange(bytes);
    ASSERT_TRUE(isOk(before)) << errorOf(before).reason;
    EXPECT_EQ(valueOf(before).result_int(), 503U);
    EXPECT_EQ(fieldOf(valueOf(before), "Retry-After"), "0.200");
    addServer("s", {okResponse("ok")});
    addSingleRoute(true);
    m_config.limits = limits(131'072, 1U << 20U, 15s);
    start();
    const auto after = exchange(bytes);
    ASSERT_TRUE(isOk(after)) << errorOf(after).reason;
    EXPECT_EQ(valueOf(after).result_int(), 200U);
}

INSTANTIATE_TEST_SUITE_P(
    Requests, StartLimitsTest,
    testing::Values(StartCase{"header", "X-Session: " + std::string(40'000, 's') + "\r\n", 0},
                    StartCase{"body", "", 300'000}),
    [](const auto &info) { return info.param.name; });

} // namespace
} // namespace gwt::test
