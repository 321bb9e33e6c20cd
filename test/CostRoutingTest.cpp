#include "CostScenarios.h"
#include "gateway/backends/CostSample.h"
#include "gateway/backends/WorkLeftPicker.h"

#include <gtest/gtest.h>

#include <cmath>

namespace {

using namespace gwt;
using namespace std::chrono_literals;

const TimePoint start{std::chrono::hours(1)};

/// \brief Upper bounds on a latency with work_left over that with latency.
struct RatioBounds
{
    const char *scenario;
    int loadPercent;
    double cheapP99;
    double costlyP99;
};

void PrintTo(const RatioBounds &row, std::ostream *out)
{
    *out << row.scenario << '/' << row.loadPercent;
}

class CostRoutingTest : public testing::TestWithParam<RatioBounds>
{ };

std::vector<double> p99Ratios(CostScenario scenario)
{
    constexpr int seeds = 3;
    std::vector<double> logs(scenario.kinds.size());
    for (int seed = 1; seed <= seeds; ++seed) {
        scenario.seed = static_cast<std::uint64_t>(seed);
        const CostRoutingResult today = CostRoutingModel(scenario, PickerKind::Latency).run();
        const CostRoutingResult workLeft = CostRoutingModel(scenario, PickerKind::WorkLeft).run();
        for (std::size_t i = 0; i < logs.size(); ++i)
            logs[i] += std::log(workLeft.kinds[i].p99Ms / today.kinds[i].p99Ms) / seeds;
    }
    return {std::exp(logs[0]), std::exp(logs[1])};
}

// Guards against a picker that is worse than the one by latency under the load that the row names.
TEST_P(CostRoutingTest, isBetterThanThePickerByLatency)
{
    for (CostScenario scenario : costScenarios()) {
        if (scenario.name != GetParam().scenario)
            continue;
        scenario.load = GetParam().loadPercent / 100.0;
        const std::vector<double> ratios = p99Ratios(scenario);
        EXPECT_LE(ratios[0], GetParam().cheapP99);
        EXPECT_LE(ratios[1], GetParam().costlyP99);
        return;
    }
    FAIL() << "no such load";
}

INSTANTIATE_TEST_SUITE_P(
    Loads, CostRoutingTest,
    testing::Values(
        RatioBounds{"equal", 60, 1.05, 1.05}, RatioBounds{"equal", 85, 1.05, 1.05},
        RatioBounds{"five_times", 60, 0.65, 0.95}, RatioBounds{"fifty_times", 60, 0.6, 0.85},
        RatioBounds{"heavy_tail", 60, 0.9, 1.1}, RatioBounds{"half_speed", 60, 0.6, 0.7},
        RatioBounds{"half_speed", 85, 0.8, 0.8}, RatioBounds{"shift", 60, 0.9, 0.9},
        RatioBounds{"one_caller", 60, 0.7, 0.9}, RatioBounds{"off_by_ten", 60, 1.05, 1.05},
        RatioBounds{"off_by_ten", 85, 1.15, 1.15}, RatioBounds{"lying_server", 60, 0.95, 1.05},
        RatioBounds{"lying_server", 85, 1.05, 1.05}, RatioBounds{"twenty_hosts", 60, 1.1, 1.1},
        RatioBounds{"twenty_reports", 85, 1.1, 1.1}));

// Guards against a server that attracts work by its load report.
TEST(CostRoutingLiarTest, aLyingServerGainsLittle)
{
    for (CostScenario scenario : costScenarios()) {
        if (scenario.name != "lying_server")
            continue;
        const double lying = CostRoutingModel(scenario, PickerKind::WorkLeft).run().workShares[0];
        scenario.lyingServer = -1;
        const double honest = CostRoutingModel(scenario, PickerKind::WorkLeft).run().workShares[0];
        EXPECT_LE(lying, honest * 1.2);
    }
}

struct FallbackRow
{
    const char *name;
    int teamSamples;
    int lengthSamples; ///< of another team
    int routeSamples; ///< of another length
    Duration wait; ///< from the last sample to the estimate
    CostSource source;
};

void PrintTo(const FallbackRow &row, std::ostream *out)
{
    *out << row.name;
}

class CostFallbackTest : public testing::TestWithParam<FallbackRow>
{ };

// Guards against estimates from too few or too old samples.
TEST_P(CostFallbackTest, usesTheMostSpecificKindWithEnoughSamples)
{
    CostEstimator costs;
    const CostKind kind("route", "GET", 100, "team");
    const auto record = [&](const CostKind &recorded, int samples, Duration cost) {
        for (int i = 0; i < samples; ++i)
            costs.record(recorded, {}, cost, start);
    };
    record(kind, GetParam().teamSamples, 10ms);
    record(CostKind("route", "GET", 100, "other"), GetParam().lengthSamples, 20ms);
    record(CostKind("route", "GET", 90'000, "other"), GetParam().routeSamples, 30ms);
    EXPECT_EQ(costs.estimate(kind, 5ms, start + GetParam().wait).source, GetParam().source);
}

INSTANTIATE_TEST_SUITE_P(
    Samples, CostFallbackTest,
    testing::Values(FallbackRow{"none", 0, 0, 0, 0s, CostSource::TypicalLatency},
                    FallbackRow{"team", 8, 50, 50, 0s, CostSource::Team},
                    FallbackRow{"few_of_team", 7, 50, 50, 0s, CostSource::Length},
                    FallbackRow{"few_of_length", 3, 4, 50, 0s, CostSource::Route},
                    FallbackRow{"team_is_old", 20, 100, 0, 45s, CostSource::Length},
                    FallbackRow{"all_are_old", 100, 100, 100, 200s, CostSource::TypicalLatency}));

// Guards against memory that grows with the kinds that callers send.
TEST(CostEstimatorTest, keepsKnownKindsWhenManyNewOnesCome)
{
    CostEstimatorRules rules;
    rules.maxKinds = 64;
    CostEstimator costs(rules);
    const CostKind known("route", "GET", 100, "team");
    for (int i = 0; i < 10'000; ++i) {
        const TimePoint now = start + i * 1ms;
        costs.record(known, {}, 10ms, now);
        costs.record(CostKind("route", "GET", 100, std::to_string(i)), {}, 20ms, now);
    }
    EXPECT_EQ(costs.estimate(known, 5ms, start + 10s).source, CostSource::Team);
    EXPECT_NEAR(std::chrono::duration<double>(costs.estimate(known, 5ms, start + 10s).mean).count(),
                0.01, 0.001);
    costs.retain({});
    EXPECT_TRUE(costs.summaries().empty());
}

struct ReportRow
{
    const char *text;
    bool isValid;
};

class LoadReportFieldTest : public testing::TestWithParam<ReportRow>
{ };

// Guards against a malformed field that is taken for a load.
TEST_P(LoadReportFieldTest, acceptsFourWholeNumbers)
{
    EXPECT_EQ(parseLoadReport(GetParam().text).has_value(), GetParam().isValid);
}

INSTANTIATE_TEST_SUITE_P(
    Texts, LoadReportFieldTest,
    testing::Values(ReportRow{"2,5,2,100", true}, ReportRow{"0,0,1,50", true}, ReportRow{"", false},
                    ReportRow{"2,5,2", false}, ReportRow{"2,5,2,100,1", false},
                    ReportRow{"2,5,0,100", false}, ReportRow{"2,5,2,0", false},
                    ReportRow{"-1,5,2,100", false}, ReportRow{"2,5,2,100 ", false},
                    ReportRow{"2,5,2,99999999999", false}, ReportRow{"2;5;2;100", false}));

// Guards against a server that hangs and still seems to be about to finish.
TEST(ServerWorkTest, workLeftGrowsWithAnOverdueRequest)
{
    ServerWork work;
    work.begin(1, {10ms, 1ms, CostSource::Team}, 2, start);
    EXPECT_EQ(work.workLeft(1, start), ServerWork::Span(10ms));
    EXPECT_EQ(work.workLeft(1, start + 6ms), ServerWork::Span(4ms));
    EXPECT_EQ(work.workLeft(1, start + 500ms), ServerWork::Span(490ms));
}

// Guards against waiting requests that count as running.
TEST(ServerWorkTest, aRequestBeyondTheSlotsStartsWhenOneEnds)
{
    ServerWork work;
    work.begin(1, {10ms, 0ms, CostSource::Team}, 1, start);
    work.begin(2, {10ms, 0ms, CostSource::Team}, 1, start);
    EXPECT_EQ(work.workLeft(1, start + 8ms), ServerWork::Span(12ms));
    work.end(1, start + 10ms);
    EXPECT_EQ(work.waited(2, start + 13ms), Duration(10ms));
    EXPECT_EQ(work.workLeft(1, start + 13ms), ServerWork::Span(7ms));
}

// Guards against a server that is avoided long after it has recovered.
TEST(ServerWorkTest, thePaceReturnsWithoutSamples)
{
    ServerWork work;
    for (int i = 0; i < 100; ++i)
        work.recordPace(8, 1, start);
    EXPECT_GT(work.pace(start), 6);
    EXPECT_LT(work.pace(start + 8s), 2.5);
}

// Guards against a wrong wait that reduces a cost to nothing, and a slow server's time that counts
// as cost.
TEST(CostSampleTest, tellsCostFromWaitAndPace)
{
    EXPECT_EQ(makeCostSample(40ms, 20ms, 10ms, 2, 1).cost, Duration(10ms));
    EXPECT_EQ(makeCostSample(40ms, 40ms, 10ms, 1, 1).cost, Duration(10ms));
    EXPECT_DOUBLE_EQ(makeCostSample(40ms, 20ms, 10ms, 2, 1).paceRatio, 2);
    EXPECT_EQ(medianPace({3, 1, 1.2}), 1.2);
    EXPECT_EQ(medianPace({}), 1);
}

} // namespace
