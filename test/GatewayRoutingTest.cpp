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

TEST_P(RouteLookupTest, theRouteWithTheLongestMatchingPrefixIsFound)
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
                    LookupCase{"noTrailingSlash", "a.example", "/x/y", "a.example/x/"},
                    LookupCase{"partOfASegment", "a.example", "/xx/1", ""},
                    LookupCase{"hostWithPort", "a.example:8080", "/x/1", "a.example/x/"},
                    LookupCase{"hostInCapitals", "A.Example", "/x/1", "a.example/x/"},
                    LookupCase{"pathInTheQuery", "a.example", "/?p=/x/", ""},
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

TEST(WeightedSplitChangeTest, newWeightsApplyAtOnce)
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

/// \brief A component that holds state of each route.
struct RetainCase
{
    const char *name;
    /// Builds up state of the route "route", retains the routes in \a retained, and returns whether
    /// the state is still there.
    bool (*hasState)(const std::set<std::string> &retained);
};

class RetainTest : public testing::TestWithParam<RetainCase>
{ };

TEST_P(RetainTest, theStateOfRemovedRoutesIsDropped)
{
    EXPECT_TRUE(GetParam().hasState({"other", "route"}));
    EXPECT_FALSE(GetParam().hasState({"other"}));
}

bool hedgeTimerHasState(const std::set<std::string> &retained)
{
    HedgeTimer timer;
    for (int i = 0; i < 200; ++i)
        timer.record("route", Milliseconds(80));
    timer.retain(retained);
    return timer.typicalLatency("route", Milliseconds(100)) > Milliseconds(50);
}

bool callerPatienceHasState(const std::set<std::string> &retained)
{
    CallerWaitEstimator callerWaits;
    callerWaits.waitedBefore("route", Milliseconds(2500));
    callerWaits.retain(retained);
    return callerWaits.waitedBefore("route", Milliseconds(500)) > Milliseconds(0);
}

bool weightedSplitHasState(const std::set<std::string> &retained)
{
    Route route;
    route.name = "route";
    route.services = {{"a", 1}, {"b", 1}};
    WeightedSplit split;
    const std::string first = split.next(route);
    split.retain(retained);
    return split.next(route) != first;
}

INSTANTIATE_TEST_SUITE_P(Parts, RetainTest,
                         testing::Values(RetainCase{"hedgeTimer", hedgeTimerHasState},
                                         RetainCase{"callerPatience", callerPatienceHasState},
                                         RetainCase{"weightedSplit", weightedSplitHasState}),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
} // namespace gwt
