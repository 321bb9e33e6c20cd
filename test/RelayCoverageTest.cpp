#include "ProcessFleet.h"

#include <boost/json.hpp>

#include <gtest/gtest.h>

#include <atomic>
#include <csignal>
#include <mutex>
#include <set>
#include <thread>

namespace gwt {
namespace {

namespace json = boost::json;
using namespace std::chrono_literals;

constexpr int hosts = 3;
constexpr int services = 6;
constexpr int callers = 4;
constexpr int searchesPerCaller = 60;

/// \brief Fault of the stand-in backend servers of each service.
constexpr std::array replyFaults = {
    R"("shed_share":0.3)",      R"("fail_share":0.3)",
    R"("malformed_share":0.3)", R"("truncate_share":0.3)",
    R"("cross_share":0.3)",     R"("slow_share":0.1,"slow_share_factor":200)",
};

struct CoverageCase
{
    const char *name;
    bool hasReplyFaults;
    bool killsRelays;
};

/// \brief Compares the reported coverage of each shard with what the stand-in backend servers
/// served.
class RelayCoverageTest : public testing::TestWithParam<CoverageCase>
{
protected:
    RelayCoverageTest()
        : m_fleet(makeOptions())
    { }

    static ProcessFleetOptions makeOptions()
    {
        ProcessFleetOptions options;
        options.hosts = hosts;
        options.services = services;
        options.serviceTimeMs = 10;
        return options;
    }

    void SetUp() override { ASSERT_TRUE(m_fleet.start()); }

    void injectReplyFaults()
    {
        for (int i = 0; i < services; ++i) {
            const std::string select = R"({"select":{"service":"pots-)" + std::to_string(i + 1);
            const HttpResponse response
                = m_fleet.post(m_fleet.backendAdmin(), "/admin/behaviour",
                               select + "\"}," + replyFaults[static_cast<std::size_t>(i)] + "}");
            ASSERT_EQ(response.status, 200) << response.body;
        }
    }

    void sendSearches(int caller)
    {
        for (int i = 0; i < searchesPerCaller || m_isRestarting; ++i) {
            const HttpResponse response
                = m_fleet.search((caller + i) % hosts + 1, i % 2 == 0 ? "urgent" : "desk");
            if (response.status != 200)
                continue;
            const std::lock_guard lock(m_mutex);
            m_answers.push_back(json::parse(response.body));
        }
    }

    /// \brief Kills each relay once while it merges slices, and restarts it.
    void restartRelays()
    {
        for (int host = 1; host <= hosts; ++host) {
            const std::string relay = "relay-" + std::to_string(host);
            std::this_thread::sleep_for(200ms);
            m_fleet.signal(relay, SIGKILL);
            m_fleet.waitExit(relay);
            m_fleet.spawn(relay);
            EXPECT_TRUE(m_fleet.waitReady(relay));
        }
    }

    std::set<std::string> servedOf(const json::object &served, const std::string &requestId) const
    {
        std::set<std::string> names;
        const json::value *list = served.if_contains(requestId);
        if (list) {
            for (const json::value &service : list->as_array())
                names.emplace(service.as_string());
        }
        return names;
    }

    void checkCoverage(const json::value &answer, const json::object &served)
    {
        const std::string requestId(answer.at("request_id").as_string());
        const std::set<std::string> servedServices = servedOf(served, requestId);
        const json::value &coverage = answer.at("coverage");
        std::set<std::string> missing;
        for (const json::value &shard : coverage.at("missing").as_array()) {
            const std::string service(shard.at("service").as_string());
            const std::string reason(shard.at("reason").as_string());
            missing.insert(service);
            // Served, but lost with its relay or delivered too late.
            const bool isLostInTransit
                = reason == "late" || reason == "relay_lost" || reason == "no_relay";
            EXPECT_TRUE(servedServices.count(service) == 0 || isLostInTransit)
                << service << " " << reason;
        }
        for (int i = 1; i <= services; ++i) {
            const std::string service = "pots-" + std::to_string(i);
            EXPECT_TRUE(missing.count(service) > 0 || servedServices.count(service) > 0)
                << service << " is reported as answered, but was not served: " << requestId;
        }
        for (const json::value &hit : answer.at("hits").as_array())
            EXPECT_EQ(missing.count(std::string(hit.at("service").as_string())), 0U);
        EXPECT_EQ(coverage.at("answered").to_number<std::size_t>() + missing.size(),
                  static_cast<std::size_t>(services));
        m_missingShards += missing.size();
    }

    ProcessFleet m_fleet;
    std::atomic<bool> m_isRestarting = false; ///< the callers go on while it is true
    std::mutex m_mutex; ///< guards m_answers
    std::vector<json::value> m_answers;
    std::size_t m_missingShards = 0;
};

TEST_P(RelayCoverageTest, eachShardReportedAsAnsweredWasServedCompletelyAndInTime)
{
    if (GetParam().hasReplyFaults)
        injectReplyFaults();
    m_isRestarting = GetParam().killsRelays;
    std::vector<std::thread> threads;
    threads.reserve(callers);
    for (int caller = 0; caller < callers; ++caller)
        threads.emplace_back([this, caller] { sendSearches(caller); });
    if (GetParam().killsRelays)
        restartRelays();
    m_isRestarting = false;
    for (std::thread &thread : threads)
        thread.join();
    const json::value served
        = json::parse(m_fleet.get(m_fleet.backendAdmin(), "/admin/served").body);
    for (const json::value &answer : m_answers)
        checkCoverage(answer, served.as_object());
    std::cout << m_answers.size() << " answers, " << m_missingShards << " shards missing\n";
    EXPECT_GT(m_answers.size(), 20U);
    EXPECT_GT(m_missingShards, 0U);
}

INSTANTIATE_TEST_SUITE_P(Faults, RelayCoverageTest,
                         testing::Values(CoverageCase{"replies", true, false},
                                         CoverageCase{"killedRelays", false, true},
                                         CoverageCase{"both", true, true}),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
} // namespace gwt
