#include "GatewayFixture.h"

namespace gwt::test {
namespace {

namespace json = boost::json;

/// A registry feed that never delivers anything.
class SilentFeed : public RegistryFeed
{
public:
    void join(std::function<void()> onDone) override { onDone(); }
    void rejoin() override { }
    void deregister(const std::string &) override { }
    void startWatching() override { }
    void stopWatching() override { }
    bool isCurrent() const override { return false; }
    bool isLost() const override { return true; }
    TimePoint provenAt() const override { return {}; }
};

class GatewayStatusTest : public GatewayTest
{
protected:
    explicit GatewayStatusTest(PickerKind picker = PickerKind::Latency)
        : GatewayTest(picker)
        , m_state(m_core)
        , m_sharing(m_context, {{"host", {"127.0.0.1", 0}, "z"}, {}}, m_state, m_feed, m_metrics)
        , m_status(m_options, m_core, m_state, m_sharing)
    { }

    json::object summary() const { return m_status.summary(false, Clock::now()); }

    SilentFeed m_feed;
    FleetState m_state;
    StateSharing m_sharing;
    GatewayStatus m_status;
};

TEST_F(GatewayStatusTest, withoutAConfigurationTheStateIsPriming)
{
    const json::object status = summary();
    EXPECT_EQ(status.at("name").as_string(), "host");
    EXPECT_EQ(status.at("state").as_string(), "priming");
    EXPECT_EQ(status.at("generation").to_number<int>(), 0);
    EXPECT_TRUE(status.at("services").as_array().empty());
    EXPECT_FALSE(status.at("registry").as_object().contains("heard_ms_ago"));
    EXPECT_TRUE(m_status.service("s", Clock::now()).at("servers").as_array().empty());
}

TEST_F(GatewayStatusTest, theServicePageShowsTheStateOfEachServer)
{
    addServer("s", {httpResponse(500, signatureField, "")});
    addServer("s", {okResponse("ok")});
    m_entries.back().isDraining = true;
    addSingleRoute(false);
    start();
    for (int i = 0; i < 3; ++i)
        sendRequest("/one/1");
    const json::object status = summary();
    EXPECT_EQ(status.at("state").as_string(), "ready");
    EXPECT_EQ(status.at("config").at("version").to_number<int>(), 1);
    EXPECT_GE(status.at("config").at("applied_ms_ago").to_number<int>(), 0);
    ASSERT_EQ(status.at("services").as_array().size(), 1U);
    const json::object &service = status.at("services").as_array()[0].as_object();
    EXPECT_EQ(service.at("servers").to_number<int>(), 2);
    EXPECT_EQ(service.at("usable").to_number<int>(), 1);
    const json::object detail = m_status.service("s", Clock::now());
    ASSERT_EQ(detail.at("servers").as_array().size(), 2U);
    const json::object &failing = detail.at("servers").as_array()[0].as_object();
    EXPECT_EQ(failing.at("id").as_string(), "i-1");
    EXPECT_GT(failing.at("failure_rate").to_number<double>(), 0.2);
    EXPECT_GE(failing.at("connections").to_number<int>(), 1);
    EXPECT_TRUE(detail.at("servers").as_array()[1].at("is_draining").as_bool());
}

TEST_F(GatewayStatusTest, retriesAreShownWithTheirBudget)
{
    addServer("s", {httpResponse(503, "X-Not-Executed: 1\r\n", "")});
    addServer("s", {httpResponse(503, "X-Not-Executed: 1\r\n", "")});
    addSingleRoute(true);
    start();
    sendRequest("/one/1");
    const json::value summary = m_status.service("s", Clock::now()).at("summary");
    EXPECT_GT(summary.at("repeats").at("allowed").to_number<double>(), 0);
    EXPECT_GE(summary.at("repeats").at("repairs").to_number<double>(), 1);
}

class GatewayCostTest : public GatewayStatusTest
{
protected:
    GatewayCostTest()
        : GatewayStatusTest(PickerKind::WorkLeft)
    { }
};

// Guards against costs that are not learned from replies, or requests that stay in the work left.
TEST_F(GatewayCostTest, theStatusShowsCostsOnceTheyAreLearned)
{
    addServer("s", {okResponse("ok", signatureField + "X-Server-Load: 3,2,2,50\r\n")});
    addSingleRoute(true);
    start();
    for (int i = 0; i < 10; ++i)
        sendRequest("/one/1");
    const json::value costs = summary().at("costs");
    ASSERT_EQ(costs.as_object().size(), 1U);
    const json::value &route = costs.as_object().begin()->value();
    EXPECT_EQ(route.at("samples").to_number<int>(), 10);
    EXPECT_GT(route.at("mean_ms").to_number<double>(), 0);
    const json::value server = m_status.service("s", Clock::now()).at("servers").at(0);
    EXPECT_GT(server.at("pace").to_number<double>(), 0);
    EXPECT_EQ(server.at("work_left_ms").to_number<double>(), 0);
}

TEST_F(GatewayStatusTest, withoutLearnedCostsNoneAreShown)
{
    EXPECT_FALSE(summary().contains("costs"));
}

} // namespace
} // namespace gwt::test
