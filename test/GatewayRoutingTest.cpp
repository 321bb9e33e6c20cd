#include "gateway/policy/CallerWaitEstimator.h"
#include "gateway/policy/HedgeTimer.h"
#include "gateway/routing/RouteTable.h"
#include "gateway/routing/WeightedSplit.h"

#include <gtest/gtest.h>

namespace gwt {
namespace {

Route makeRoute(const std::string &host, const std::string &prefix)
{
    Route route;
    route.name = host + prefix;
    route.host = host;
    route.pathPrefix = prefix;
    route.services = {{"s", 1}};
    return route;
}

struct LookupCase
{
    std::string name;
    std::string host;
    std::string path;
    std::string expected; ///< name of the route; empty for none
};

class RouteLookupTest : public testing::TestWithParam<LookupCase>
{ };

TEST_P(RouteLookupTest, theLongestPrefixOfTheHostIsTaken)
{
    RoutingConfig config;
    config.routes = {makeRoute("a.example", "/x/"), makeRoute("a.example", "/x/y/"),
                     makeRoute("b.example", "/")};
    const RouteTable table(config);
    const Route *route = table.find(GetParam().host, GetParam().path);
    EXPECT_EQ(route ? route->name : "", GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    Requests, RouteLookupTest,
    testing::Values(LookupCase{"shortPrefix", "a.example", "/x/1", "a.example/x/"},
                    LookupCase{"longPrefix", "a.example", "/x/y/1", "a.example/x/y/"},
                    LookupCase{"prefixItself", "a.example", "/x/y/", "a.example/x/y/"},
                    LookupCase{"noSlash", "a.example", "/x/y", "a.example/x/"},
                    LookupCase{"partOfASegment", "a.example", "/xx/1", ""},
                    LookupCase{"hostWithPort", "a.example:8080", "/x/1", "a.example/x/"},
                    LookupCase{"hostInCapitals", "A.Example", "/x/1", "a.example/x/"},
                    LookupCase{"queryIsNoPath", "a.example", "/?p=/x/", ""},
                    LookupCase{"root", "b.example", "/x/1", "b.example/"},
                    LookupCase{"otherHost", "c.example", "/x/1", ""},
                    LookupCase{"emptyHost", "", "/x/1", ""}),
    [](const auto &info) { return info.param.name; });

struct SplitCase
{
    std::string name;
    std::vector<WeightedService> services;
    std::map<std::string, int> expected; ///< of 100 requests
};

class WeightedSplitTest : public testing::TestWithParam<SplitCase>
{ };

TEST_P(WeightedSplitTest, eachServiceGetsItsShareOfAHundredRequests)
{
    Route route = makeRoute("a.example", "/");
    route.services = GetParam().services;
    WeightedSplit split;
    std::map<std::string, int> counts;
    for (int i = 0; i < 100; ++i)
        ++counts[split.next(route)];
    EXPECT_EQ(counts, GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    Weights, WeightedSplitTest,
    testing::Values(
        SplitCase{"one", {{"a", 1}}, {{"a", 100}}},
        SplitCase{"equal", {{"a", 1}, {"b", 1}}, {{"a", 50}, {"b", 50}}},
        SplitCase{"skewed", {{"a", 90}, {"b", 10}}, {{"a", 90}, {"b", 10}}},
        SplitCase{"zeroWeight", {{"a", 0}, {"b", 3}}, {{"b", 100}}},
        SplitCase{"three", {{"a", 5}, {"b", 3}, {"c", 2}}, {{"a", 50}, {"b", 30}, {"c", 20}}}),
    [](const auto &info) { return info.param.name; });

TEST(WeightedSplitChangeTest, newWeightsHoldAtOnce)
{
    Route route = makeRoute("a.example", "/");
    route.services = {{"a", 1}, {"b", 1}};
    WeightedSplit split;
    for (int i = 0; i < 51; ++i)
        split.next(route);
    route.services = {{"a", 0}, {"b", 1}};
    for (int i = 0; i < 10; ++i)
        EXPECT_EQ(split.next(route), "b");
}

/// \brief What a part learns of a route, as something that shows.
struct LearnedCase
{
    const char *name;
    /// Learns of "route", forgets what \a kept does not name, and tells what is known then.
    bool (*knows)(const std::set<std::string> &kept);
};

class LearnedTest : public testing::TestWithParam<LearnedCase>
{ };

TEST_P(LearnedTest, routesThatAreGoneAreForgotten)
{
    EXPECT_TRUE(GetParam().knows({"other", "route"}));
    EXPECT_FALSE(GetParam().knows({"other"}));
}

bool hedgeTimerKnows(const std::set<std::string> &kept)
{
    HedgeTimer timer;
    for (int i = 0; i < 200; ++i)
        timer.record("route", Milliseconds(80));
    timer.retain(kept);
    return timer.typicalLatency("route", Milliseconds(100)) > Milliseconds(50);
}

bool callerPatienceKnows(const std::set<std::string> &kept)
{
    CallerWaitEstimator callerWaits;
    callerWaits.waitedBefore("route", Milliseconds(2500));
    callerWaits.retain(kept);
    return callerWaits.waitedBefore("route", Milliseconds(500)) > Milliseconds(0);
}

bool weightedSplitKnows(const std::set<std::string> &kept)
{
    Route route;
    route.name = "route";
    route.services = {{"a", 1}, {"b", 1}};
    WeightedSplit split;
    const std::string first = split.next(route);
    split.retain(kept);
    return split.next(route) != first;
}

INSTANTIATE_TEST_SUITE_P(Parts, LearnedTest,
                         testing::Values(LearnedCase{"hedgeTimer", hedgeTimerKnows},
                                         LearnedCase{"callerPatience", callerPatienceKnows},
                                         LearnedCase{"weightedSplit", weightedSplitKnows}),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
} // namespace gwt
