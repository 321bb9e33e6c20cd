#include "gateway/policy/DeadlineCheck.h"
#include "GatewayFixture.h"

namespace gwt::test {
namespace {

struct LatenessCase
{
    const char *name;
    Milliseconds target;
    Milliseconds latency; ///< at a single shard
    int samples;
    Duration sinceAnswer;
    Milliseconds timeLeft;
    bool isTooLate;
};

class DeadlineCheckTest : public testing::TestWithParam<LatenessCase>
{ };

TEST_P(DeadlineCheckTest, refusesOnlyWhatCannotBeAnswered)
{
    const LatenessCase &load = GetParam();
    const TimePoint now = TimePoint() + 1h;
    HedgeTimer hedges;
    DeadlineCheck check(hedges);
    Route route;
    route.name = "r";
    route.target = load.target;
    route.query.minShare = 0.85;
    for (int i = 0; i < load.samples; ++i)
        hedges.record("r", load.latency);
    if (load.samples > 0)
        check.recordAnswer("r", now - load.sinceAnswer);
    EXPECT_EQ(check.isTooLate(route, load.timeLeft, now), load.isTooLate);
    check.retain({"other"});
    EXPECT_FALSE(check.isTooLate(route, load.timeLeft, now)) << "the state is dropped";
}

INSTANTIATE_TEST_SUITE_P(
    Queries, DeadlineCheckTest,
    testing::Values(LatenessCase{"firstTry", 40ms, 6ms, 500, 1s, 235ms, false},
                    LatenessCase{"retryWithEnoughLeft", 40ms, 6ms, 500, 1s, 20ms, false},
                    LatenessCase{"retryTooLate", 40ms, 12ms, 500, 1s, 8ms, true},
                    LatenessCase{"longTargetRetryTooLate", 120ms, 30ms, 500, 1s, 20ms, true},
                    LatenessCase{"pastItsDeadline", 120ms, 30ms, 500, 1s, -5ms, true},
                    LatenessCase{"slowShardsFirstTry", 40ms, 300ms, 500, 1s, 235ms, false},
                    LatenessCase{"slowShardsTargetLeft", 120ms, 600ms, 500, 1s, 120ms, false},
                    LatenessCase{"firstQueries", 40ms, 12ms, 0, 0s, 8ms, false},
                    LatenessCase{"fewSamples", 40ms, 12ms, 90, 1s, 8ms, false},
                    LatenessCase{"outdatedLatency", 40ms, 12ms, 500, 11s, 8ms, false}),
    [](const auto &info) { return std::string(info.param.name); });

using LateQueryTest = GatewayTest;

// A query whose caller leaves too little time only takes capacity from others.
TEST_F(LateQueryTest, isRefusedBeforeAnythingIsSentOnceLatenciesAreKnown)
{
    std::vector<std::string> shards;
    for (int i = 0; i < 25; ++i) {
        shards.push_back("s" + std::to_string(i));
        addServer(shards.back(), {okResponse(std::string(16, 'a')), 400ms});
    }
    addQueryRoute(shards, 0.5);
    m_config.routes.back().target = 1600ms;
    m_config.routes.back().timeout = 16s;
    start();
    // Less than a shard takes, and enough to connect to all of them on a busy machine.
    const std::string littleTime = std::string(m_headerNames.deadline) + ": 320\r\n";
    const auto requests = [&] { return m_servers.front()->requests().size(); };
    sendRequest("/all/1", littleTime);
    EXPECT_EQ(requests(), 1U) << "no latency is known yet";
    // The unanswered query counts as pressure, so that admission may refuse one of these.
    int answered = 0;
    for (int i = 0; i < 20 && answered < 5; ++i)
        answered += sendRequest("/all/1").result_int() == 200 ? 1 : 0;
    ASSERT_EQ(answered, 5);
    const std::size_t sent = requests();
    const WireResponse response = sendRequest("/all/1", littleTime);
    EXPECT_EQ(response.result_int(), 503U);
    EXPECT_EQ(response.count("Retry-After"), 1U);
    EXPECT_EQ(requests(), sent);
    EXPECT_NE(m_metrics.text().find("reason=\"too_late\"} 1"), std::string::npos);
}

} // namespace
} // namespace gwt::test
