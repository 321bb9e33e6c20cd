#include "ProcessFleet.h"

#include <boost/json.hpp>

#include <gtest/gtest.h>

#include <csignal>

namespace gwt {
namespace {

namespace json = boost::json;

class EndToEndTest : public testing::Test
{
protected:
    EndToEndTest()
        : m_fleet(ProcessFleetOptions{})
    { }
    void SetUp() override { ASSERT_TRUE(m_fleet.start()); }

    ProcessFleet m_fleet;
};

TEST_F(EndToEndTest, everyEntryAnswersEveryRankInFull)
{
    for (int host = 1; host <= 3; ++host) {
        for (const std::string rank : {"urgent", "desk", "background"}) {
            const HttpResponse response = m_fleet.search(host, rank);
            ASSERT_EQ(response.status, 200) << response.body;
            const json::value answer = json::parse(response.body);
            EXPECT_EQ(answer.at("coverage").at("answered").to_number<int>(), 6) << response.body;
            EXPECT_EQ(answer.at("hits").as_array().size(), 10U);
        }
    }
}

TEST_F(EndToEndTest, aBookingRunsOnceAcrossEntriesAndRetries)
{
    const HttpResponse first = m_fleet.book(1, "key-1");
    ASSERT_EQ(first.status, 200) << first.body;
    for (int host = 1; host <= 3; ++host) {
        const HttpResponse retry = m_fleet.book(host, "key-1");
        EXPECT_EQ(retry.status, 200) << retry.body;
        EXPECT_EQ(json::parse(retry.body).at("result"), json::parse(first.body).at("result"));
        EXPECT_EQ(json::parse(m_fleet.lookUp(host, "key-1").body).at("state").as_string(), "done");
    }
    EXPECT_EQ(m_fleet.executions("key-1"), 1);
    EXPECT_EQ(json::parse(m_fleet.lookUp(2, "key-2").body).at("state").as_string(), "notRun");
}

TEST_F(EndToEndTest, allDaemonsExitWithZeroOnSigterm)
{
    for (int host = 1; host <= 3; ++host) {
        for (const std::string &name : ProcessFleet::daemonsOf(host))
            m_fleet.signal(name, SIGTERM);
    }
    for (int host = 1; host <= 3; ++host) {
        for (const std::string &name : ProcessFleet::daemonsOf(host))
            EXPECT_EQ(m_fleet.waitExit(name), 0) << name;
    }
}

struct RefusalCase
{
    std::string name;
    std::string method;
    std::string target;
    std::string body;
    int status;
    std::string code;
};

class RefusalTest : public testing::TestWithParam<RefusalCase>
{
protected:
    static void SetUpTestSuite()
    {
        ProcessFleetOptions options;
        options.hosts = 1;
        s_fleet = std::make_unique<ProcessFleet>(options);
        ASSERT_TRUE(s_fleet->start());
    }
    static void TearDownTestSuite() { s_fleet.reset(); }

    static std::unique_ptr<ProcessFleet> s_fleet;
};

std::unique_ptr<ProcessFleet> RefusalTest::s_fleet;

TEST_P(RefusalTest, anInvalidRequestReturnsItsErrorCodeAndNotRun)
{
    const RefusalCase &refusal = GetParam();
    const HttpResponse response
        = s_fleet->send(s_fleet->entry(1), refusal.method, refusal.target, refusal.body);
    EXPECT_EQ(response.status, refusal.status) << response.body;
    const json::value answer = json::parse(response.body);
    EXPECT_EQ(answer.at("error").at("code").as_string(), refusal.code) << response.body;
    EXPECT_EQ(answer.at("error").at("run").as_string(), "notRun") << response.body;
}

INSTANTIATE_TEST_SUITE_P(
    All, RefusalTest,
    testing::Values(
        RefusalCase{"badJson", "POST", "/v1/search", "{", 400, "bad_json"},
        RefusalCase{"noIndex", "POST", "/v1/search", R"({"rank":"urgent","query":"q"})", 400,
                    "bad_request"},
        RefusalCase{"unknownField", "POST", "/v1/search",
                    R"({"index":"pots","rank":"urgent","query":"q","x":1})", 400, "bad_request"},
        RefusalCase{"unknownIndex", "POST", "/v1/search",
                    R"({"index":"pans","rank":"urgent","query":"q"})", 404, "unknown_index"},
        RefusalCase{"unknownRank", "POST", "/v1/search",
                    R"({"index":"pots","rank":"vip","query":"q"})", 404, "unknown_rank"},
        RefusalCase{"oversized", "POST", "/v1/search", std::string(2U << 20U, 'x'), 413,
                    "body_too_large"},
        RefusalCase{"missingKey", "POST", "/v1/bookings",
                    R"({"index":"pots","rank":"urgent","payload":1})", 400, "missing_key"},
        RefusalCase{"wrongMethod", "PUT", "/v1/search", "", 405, "wrong_method"},
        RefusalCase{"noPath", "GET", "/v2", "", 404, "no_such_path"}),
    [](const auto &info) { return info.param.name; });

} // namespace
} // namespace gwt
