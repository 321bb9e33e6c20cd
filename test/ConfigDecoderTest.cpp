#include "platform/ConfigDecoder.h"
#include "platform/JsonFields.h"

#include <gtest/gtest.h>

#include <limits>

namespace gwt::platform {
namespace {

using namespace std::chrono_literals;

constexpr std::int64_t aboveInt = std::int64_t(1) << 32U; // zero as an int

const std::string goodConfig = R"({"version":7,"routes":[
    {"name":"r","hostname":"h","pathPrefix":"/p/","routeType":"idempotent","timeoutMs":1000,
     "targetLatencyMs":50,"priority":1,"gather":["a","b"],"attempts":2,"topK":5,"minShare":0.75},
    {"name":"q","hostname":"h","pathPrefix":"/q/","routeType":"non_idempotent","timeoutMs":900,
     "trafficSplit":[{"service":"a","weight":3},{"service":"b","weight":1}],"attempts":1}],
    "services":[{"name":"a","healthPath":"/h","maxConnections":26}],
    "limits":{"maxHeaderBytes":100,"maxBodyBytes":200,"headerTimeoutMs":300,"idleTimeoutMs":400}})";

TEST(ConfigDecoderTest, decodesCompleteConfiguration)
{
    std::vector<std::string> faults;
    const auto decoded = decodeConfig(boost::json::parse(goodConfig), faults);
    ASSERT_TRUE(isOk(decoded));
    const RoutingConfig &config = valueOf(decoded);
    EXPECT_EQ(config.version, 7U);
    ASSERT_EQ(config.routes.size(), 2U);
    const Route &query = config.routes[0];
    EXPECT_TRUE(query.isShardQuery());
    EXPECT_TRUE(query.isIdempotent);
    EXPECT_EQ(query.query.shards, (std::vector<std::string>{"a", "b"}));
    EXPECT_EQ(query.query.topRecords, 5U);
    EXPECT_EQ(query.target, 50ms);
    const Route &split = config.routes[1];
    EXPECT_FALSE(split.isIdempotent);
    EXPECT_EQ(split.services.size(), 2U);
    EXPECT_EQ(split.target, 900ms) << "the timeout is the default target";
    EXPECT_EQ(config.services[0].maxConnections, 26);
    EXPECT_EQ(config.limits.maxBodyBytes, 200U);
    EXPECT_EQ(config.limits.idleTimeout, 400ms);
}

TEST(ConfigDecoderTest, capsNumbersOutOfRange)
{
    boost::json::value spec = boost::json::parse(goodConfig);
    boost::json::object &route = spec.at("routes").as_array()[0].as_object();
    route["attempts"] = aboveInt;
    route["priority"] = aboveInt;
    route["timeoutMs"] = std::numeric_limits<std::int64_t>::max();
    boost::json::object &limits = spec.at("limits").as_object();
    limits["maxHeaderBytes"] = aboveInt;
    limits["idleTimeoutMs"] = std::numeric_limits<std::int64_t>::max();
    std::vector<std::string> faults;
    const auto decoded = decodeConfig(spec, faults);
    ASSERT_TRUE(isOk(decoded));
    const RoutingConfig &config = valueOf(decoded);
    EXPECT_EQ(config.routes[0].maxAttempts, maxCount);
    EXPECT_EQ(config.routes[0].rank, maxCount);
    EXPECT_GT(Clock::now() + config.routes[0].timeout, Clock::now());
    EXPECT_GT(static_cast<std::uint32_t>(config.limits.maxHeaderBytes), 100U);
    EXPECT_GT(Clock::now() + config.limits.idleTimeout, Clock::now());
}

class BadConfigTest : public testing::TestWithParam<std::string>
{ };

TEST_P(BadConfigTest, isRejectedAsAWhole)
{
    std::vector<std::string> faults;
    EXPECT_FALSE(isOk(decodeConfig(boost::json::parse(GetParam()), faults)));
}

INSTANTIATE_TEST_SUITE_P(
    Values, BadConfigTest,
    testing::Values("null", "[]", R"({"routes":[]})", R"({"version":"7","routes":[]})",
                    R"({"version":7})", R"({"version":7,"routes":[5]})",
                    R"({"version":7,"routes":[{"name":"r"}]})",
                    R"({"version":7,"routes":[{"name":"r","hostname":"h","pathPrefix":"/"}]})",
                    R"({"version":7,"routes":[],"services":[{}]})"));

TEST(ConfigDecoderTest, routeWithoutTypeIsNotIdempotent)
{
    std::vector<std::string> faults;
    const auto decoded = decodeConfig(
        boost::json::parse(
            R"({"version":1,"routes":[{"name":"r","hostname":"h","pathPrefix":"/","service":"a"}]})"),
        faults);
    ASSERT_TRUE(isOk(decoded));
    EXPECT_FALSE(valueOf(decoded).routes[0].isIdempotent);
}

struct TeamCase
{
    std::string name;
    std::string entry;
    std::size_t teams; ///< beside the one before it and the one after it
    std::size_t faults;
};

class TeamDecoderTest : public testing::TestWithParam<TeamCase>
{ };

// One bad entry must not lock out the callers of the others, and no fault may reveal a key.
TEST_P(TeamDecoderTest, aBadEntryIsReportedAndHidesNoOther)
{
    boost::json::value spec = boost::json::parse(goodConfig);
    spec.as_object()["tenants"] = boost::json::parse(
        R"([{"name":"first","apiKeys":["k1"],"priority":1,"ratePerS":5,"burst":2},)"
        + GetParam().entry + R"(,{"name":"last","apiKeys":["k2"]}])");
    std::vector<std::string> faults;
    const auto decoded = decodeConfig(spec, faults);
    ASSERT_TRUE(isOk(decoded));
    const std::vector<Team> &teams = valueOf(decoded).teams;
    ASSERT_EQ(teams.size(), GetParam().teams + 2);
    EXPECT_EQ(teams.front().rank, 1);
    EXPECT_EQ(teams.front().quota, (TeamQuota{5, 2}));
    EXPECT_EQ(teams.back().keys, std::vector{digestOfKey("k2")});
    EXPECT_FALSE(teams.back().quota.isLimited());
    EXPECT_EQ(faults.size(), GetParam().faults);
    for (const std::string &fault : faults)
        EXPECT_EQ(fault.find("k1"), std::string::npos);
}

INSTANTIATE_TEST_SUITE_P(
    Entries, TeamDecoderTest,
    testing::Values(
        TeamCase{"good", R"({"name":"t","apiKeys":["k3"]})", 1, 0},
        TeamCase{"unknownField", R"({"name":"t","apiKeys":["k3"],"new":1})", 1, 1},
        TeamCase{"noName", R"({"apiKeys":["k3"]})", 0, 1},
        TeamCase{"nameTwice", R"({"name":"first","apiKeys":["k3"]})", 0, 1},
        TeamCase{"notAnObject", "5", 0, 1}, TeamCase{"noKeys", R"({"name":"t"})", 1, 1},
        TeamCase{"keyIsNumber", R"({"name":"t","apiKeys":[5,"k3"]})", 1, 1},
        TeamCase{"keyOfAnother", R"({"name":"t","apiKeys":["k1"]})", 1, 1},
        TeamCase{"negativeRate", R"({"name":"t","apiKeys":["k3"],"ratePerS":-1})", 1, 1},
        TeamCase{"rateIsText", R"({"name":"t","apiKeys":["k3"],"burst":"2"})", 1, 1},
        TeamCase{"badPriority", R"({"name":"t","apiKeys":["k3"],"priority":-2})", 1, 1}),
    [](const auto &info) { return info.param.name; });

} // namespace
} // namespace gwt::platform
