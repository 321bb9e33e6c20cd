#include "load/Load.h"

#include <gtest/gtest.h>

namespace gwt {
namespace {

using namespace std::chrono_literals;

LoadOptions makeOptions()
{
    LoadOptions options;
    options.duration = 3000ms;
    options.faults.push_back({"zone-dies", 1500ms, {}, "/admin/behaviour", "{}"});
    options.windows.push_back({"flood", 1000ms, 2000ms});
    return options;
}

StreamReport makeReport(Milliseconds latency)
{
    StreamReport report;
    report.name = "urgent";
    for (int i = 0; i < 30; ++i) {
        const bool isAnswered = i % 10 != 9;
        RequestRecord record;
        record.arrival = i * 100ms;
        record.latency = latency * (i % 10 + 1);
        record.outcome = isAnswered ? RequestOutcome::Answered : RequestOutcome::Refused;
        record.isInTarget = isAnswered && record.latency <= 50ms;
        record.shards = 4;
        record.shardsAnswered = i < 10 ? 4 : 3;
        report.records.push_back(record);
    }
    return report;
}

struct WindowCase
{
    std::string name;
    Milliseconds from;
    Milliseconds until;
    std::uint64_t sent;
    std::uint64_t complete;
    double coverage;
};

class LoadSummaryTest : public testing::TestWithParam<WindowCase>
{ };

TEST_P(LoadSummaryTest, countsOnlyArrivalsWithinTheWindow)
{
    const LoadSummary summary = summarize(makeReport(10ms), GetParam().from, GetParam().until);
    EXPECT_EQ(summary.sent, GetParam().sent);
    EXPECT_EQ(summary.answered + summary.refused, GetParam().sent);
    EXPECT_EQ(summary.complete, GetParam().complete);
    EXPECT_DOUBLE_EQ(summary.coverage(), GetParam().coverage);
}

INSTANTIATE_TEST_SUITE_P(Windows, LoadSummaryTest,
                         testing::Values(WindowCase{"whole", 0ms, 3000ms, 30, 9, 90.0 / 108},
                                         WindowCase{"first", 0ms, 1000ms, 10, 9, 1},
                                         WindowCase{"second", 1000ms, 2000ms, 10, 0, 0.75},
                                         WindowCase{"empty", 5000ms, 6000ms, 0, 0, 1}),
                         [](const auto &info) { return info.param.name; });

TEST(LoadReportTest, quantilesIncludeOnlyAnsweredRequests)
{
    const LoadSummary summary = summarize(makeReport(10ms));
    EXPECT_EQ(summary.p50, 50ms);
    EXPECT_EQ(summary.p999, 90ms);
    EXPECT_EQ(summary.inTarget, 15U);
}

TEST(LoadReportTest, comparisonPrintsRatiosOfStreamsInBothReports)
{
    const LoadOptions options = makeOptions();
    const std::string a = toJson(options, {makeReport(10ms)}, std::nullopt, {});
    const std::string b = toJson(options, {makeReport(20ms)}, std::nullopt, {});
    const Outcome<std::string> table = compareReports(a, b);
    ASSERT_TRUE(isOk(table));
    EXPECT_NE(valueOf(table).find("urgent         p99_ms          90.000      180.000    2.000"),
              std::string::npos)
        << valueOf(table);
    EXPECT_FALSE(isOk(compareReports(a, "[]")));
    EXPECT_FALSE(isOk(compareReports("{\"streams\":[{}]}", b)));
}

TEST(LoadReportTest, plotShowsFaultsAndStreams)
{
    const std::string svg = toSvg(makeOptions(), {makeReport(10ms)});
    EXPECT_NE(svg.find("zone-dies"), std::string::npos);
    EXPECT_NE(svg.find("urgent"), std::string::npos);
    EXPECT_NE(svg.find("<polyline"), std::string::npos);
}

TEST(LoadReportTest, invalidSettingsAreReportedWithLineAndKey)
{
    Outcome<Settings> parsed = Settings::fromText(R"([load]
entries = ["127.0.0.1:1"]
[stream.a]
index = "i"
rank = "r"
rate = -1
[fault.f]
at_ms = "soon"
admin = "127.0.0.1:2"
path = "/p"
[window.w]
til_ms = 3
)",
                                                  "load.toml");
    Settings &settings = valueOf(parsed);
    LoadOptions::read(settings);
    std::string all;
    for (const std::string &fault : settings.faults())
        all += fault + "\n";
    for (const char *location : {"load.toml:6", "stream.a.rate", "load.toml:8", "fault.f.at_ms",
                                 "load.toml:12", "window.w.til_ms"})
        EXPECT_NE(all.find(location), std::string::npos) << location << "\n" << all;
}

} // namespace
} // namespace gwt
