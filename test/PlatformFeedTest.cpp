#include "platform/PlatformFeed.h"

#include "ScriptedServer.h"
#include "gateway/sharing/FreshnessLimits.h"
#include "standins/platform/FakePlatform.h"

#include <gtest/gtest.h>

namespace gwt::test {
namespace {

using namespace std::chrono_literals;

/// Ignores all changes; the tests inspect the FleetState.
class SilentObserver : public StateObserver
{
public:
    void onConfig(const RoutingConfig &) override { }
    void onBackends(const std::vector<BackendEntry> &) override { }
    void onBackendChanges(const std::vector<BackendChange> &) override { }
    void onMembers(const std::vector<FleetMember> &) override { }
    void onRegistryRecovery() override { ++m_recoveries; }
    int recoveries() const { return m_recoveries; }

private:
    int m_recoveries = 0;
};

class PlatformFeedTest : public testing::Test
{
protected:
    PlatformFeedTest()
        : m_store(valueOf(m_platform.listen({"127.0.0.1", 0})))
        , m_feed(m_context, m_timers, m_metrics, m_store, {"host-a", {"127.0.0.1", 1}, "north"},
                 m_state, 600ms, 1s)
    { }

    bool joinAndRegister()
    {
        bool hasJoined = false;
        m_feed.join([&] { hasJoined = true; });
        return runUntil(m_context, [&] { return hasJoined && isRegistered("host-a"); });
    }
    bool isRegistered(const std::string &host)
    {
        return m_platform.data().get("gateways", host).has_value();
    }
    bool isCurrentAfter(TimePoint time)
    {
        return runUntil(m_context, [&] { return m_feed.isCurrent() && m_feed.provenAt() > time; });
    }
    bool membersBecome(std::size_t count)
    {
        return runUntil(
            m_context, [&] { return m_state.members().size() == count; }, 10s);
    }

    const TimePoint m_startedAt = Clock::now();
    boost::asio::io_context m_context;
    TimerQueue m_timers{m_context};
    Metrics m_metrics;
    SilentObserver m_observer;
    FleetState m_state{m_observer};
    FakePlatform m_platform{m_context.get_executor()};
    Endpoint m_store;
    platform::PlatformFeed m_feed;
};

// The store answers the first call of a process that starts in its outage neither then nor later.
TEST_F(PlatformFeedTest, joiningAStoreThatReturnsFromSilenceTakesLessThanASecond)
{
    int listings = 0;
    test::ScriptedServer store(m_context, m_timers, [&](const test::ServerRequest &request) {
        const bool isListing = request.method() == boost::beast::http::verb::get;
        const bool isLost = isListing && ++listings == 1;
        return isLost
            ? test::ScriptedReply{}
            : test::ScriptedReply{test::httpResponse(200, "", R"({"items":[],"asOf":5})")};
    });
    platform::PlatformFeed feed(m_context, m_timers, m_metrics, store.endpoint(),
                                {"host-b", {"127.0.0.1", 1}, "north"}, m_state, 600ms, 1s);
    bool hasJoined = false;
    feed.join([&] { hasJoined = true; });
    EXPECT_TRUE(test::runUntil(
        m_context, [&] { return hasJoined; }, 1s));
    EXPECT_EQ(m_state.members().size(), 1U);
}

TEST_F(PlatformFeedTest, deregistrationRemovesMemberUnlessItHasChanged)
{
    m_platform.data().overwrite("gateways", "host-b", {{"peer", "127.0.0.1:2"}});
    ASSERT_TRUE(joinAndRegister());
    m_feed.startWatching();
    ASSERT_TRUE(membersBecome(2));
    // A registration that has changed since it was read is not removed.
    m_platform.data().overwrite("gateways", "host-b", {{"peer", "127.0.0.1:3"}});
    m_feed.deregister("host-b");
    ASSERT_TRUE(runUntil(
        m_context, [&] { return m_state.members().back().peer.port == 3; }, 10s));
    EXPECT_TRUE(isRegistered("host-b"));
    m_feed.deregister("host-b");
    EXPECT_TRUE(membersBecome(1));
    EXPECT_FALSE(isRegistered("host-b"));
}

TEST_F(PlatformFeedTest, membersHaveTheirAvailabilityZones)
{
    // A process of an older version registers without an availability zone.
    m_platform.data().overwrite("gateways", "host-b", {{"peer", "127.0.0.1:2"}});
    m_platform.data().overwrite("gateways", "host-c",
                                {{"peer", "127.0.0.1:3"}, {"availability_zone", "south"}});
    ASSERT_TRUE(joinAndRegister());
    m_feed.startWatching();
    ASSERT_TRUE(membersBecome(3));
    EXPECT_EQ(m_state.members()[0].availabilityZone, "north");
    EXPECT_EQ(m_state.members()[1].availabilityZone, "");
    EXPECT_EQ(m_state.members()[2].availabilityZone, "south");
}

// Guards against backend servers and members that stay outdated after the store fell silent on open
// connections: their long watches never get a reply.
TEST_F(PlatformFeedTest, afterASilenceOfTheStoreAllKindsAreListedAnew)
{
    ASSERT_TRUE(joinAndRegister());
    m_feed.startWatching();
    ASSERT_TRUE(isCurrentAfter(Clock::now()));
    ASSERT_TRUE(membersBecome(1));
    PlatformFaults faults;
    faults.isSilent = true;
    m_platform.setFaults(faults);
    ASSERT_TRUE(runUntil(
        m_context, [&] { return m_feed.isLost(); }, 3s));
    EXPECT_FALSE(m_feed.isCurrent());
    const TimePoint lostAt = Clock::now();
    EXPECT_LT(m_feed.provenAt(), lostAt);
    m_platform.data().overwrite("gateways", "host-b", {{"peer", "127.0.0.1:2"}});
    m_platform.setFaults({});
    EXPECT_TRUE(isCurrentAfter(lostAt));
    EXPECT_TRUE(membersBecome(2));
}

// Guards against requests to leaving backend servers: the reply to a watch of the servers was lost,
// while the store answers the watch of the configuration.
TEST_F(PlatformFeedTest, aWatchOfTheBackendsThatHangsAloneIsReplacedInTime)
{
    int listings = 0;
    test::ScriptedServer store(m_context, m_timers, [&](const test::ServerRequest &request) {
        const std::string target(request.target());
        const bool isWatch = target.find("watch=") != std::string::npos;
        const bool isOfBackends = target.find("/servers") != std::string::npos;
        if (isWatch && isOfBackends)
            return test::ScriptedReply{};
        if (isWatch)
            return test::ScriptedReply{test::httpResponse(200, "", R"({"events":[],"asOf":5})"),
                                       500ms};
        listings += isOfBackends ? 1 : 0;
        return test::ScriptedReply{test::httpResponse(200, "", R"({"items":[],"asOf":5})")};
    });
    const FreshnessLimits limits(3000ms, 3000ms);
    platform::PlatformFeed feed(m_context, m_timers, m_metrics, store.endpoint(),
                                {"host-b", {"127.0.0.1", 1}, "north"}, m_state, limits.watchWait(),
                                limits.backendWatchWait());
    feed.startWatching();
    ASSERT_TRUE(test::runUntil(m_context, [&] { return listings == 1; }));
    EXPECT_TRUE(test::runUntil(
        m_context, [&] { return listings > 1; }, 2s));
    feed.stopWatching();
}

/// A process that follows the evacuations, or does not.
class EvacuationFeedTest : public PlatformFeedTest
{
protected:
    using Evacuations = platform::PlatformFeed::Evacuations;

    platform::PlatformFeed makeFeed(Evacuations evacuations)
    {
        return {m_context, m_timers, m_metrics, m_store,    {"host-a", {"127.0.0.1", 1}, "north"},
                m_state,   600ms,    1s,        evacuations};
    }
    void evacuate(const std::string &zone)
    {
        m_platform.data().overwrite("evacuations", zone, boost::json::object{});
    }
    bool zonesBecome(const std::set<std::string> &zones, Duration limit)
    {
        return runUntil(
            m_context, [&] { return m_state.evacuations() == zones; }, limit);
    }
};

// A change must be in force within 5 s on all hosts, so the first ones need it sooner.
TEST_F(EvacuationFeedTest, evacuationsBeginAndEndWithTheirObjects)
{
    evacuate("north");
    platform::PlatformFeed feed = makeFeed(Evacuations::Followed);
    feed.startWatching();
    EXPECT_TRUE(zonesBecome({"north"}, 1s));
    evacuate("south");
    EXPECT_TRUE(zonesBecome({"north", "south"}, 1s));
    m_platform.data().remove("evacuations", "north", std::nullopt);
    EXPECT_TRUE(zonesBecome({"south"}, 1s));
}

// A process without the store does not know of the end, and the zone may be about to lose power.
TEST_F(EvacuationFeedTest, aProcessThatHasLostTheStoreKeepsTheLastSet)
{
    platform::PlatformFeed feed = makeFeed(Evacuations::Followed);
    feed.startWatching();
    evacuate("north");
    ASSERT_TRUE(zonesBecome({"north"}, 1s));
    PlatformFaults faults;
    faults.isDown = true;
    m_platform.setFaults(faults);
    ASSERT_TRUE(runUntil(
        m_context, [&] { return feed.isLost(); }, 3s));
    EXPECT_FALSE(zonesBecome({}, 1s));
}

// Guards against sends to an evacuated zone between the return of the store and the operator's
// repeated write, and against an evacuation that is kept for ever.
TEST_F(EvacuationFeedTest, anEvacuationThatTheStoreHasLostIsKeptForAWhile)
{
    platform::PlatformFeed feed = makeFeed(Evacuations::Followed);
    feed.startWatching();
    evacuate("north");
    ASSERT_TRUE(zonesBecome({"north"}, 1s));
    const std::uint64_t revision = m_platform.data().revision();
    m_platform.returnFromCopy(1min);
    ASSERT_LT(m_platform.data().revision(), revision);
    EXPECT_FALSE(zonesBecome({}, 1500ms));
    EXPECT_TRUE(zonesBecome({}, 2s));
}

// The calls of the store are limited, and other deployments have no such objects.
TEST_F(EvacuationFeedTest, evacuationsAreNotReadUnlessTheSettingsAskForThem)
{
    evacuate("north");
    platform::PlatformFeed feed = makeFeed(Evacuations::Ignored);
    feed.startWatching();
    EXPECT_FALSE(zonesBecome({"north"}, 500ms));
}

// Guards against members that are no longer registered after the store lost their objects, against
// an older configuration, and against states that count as older because their revisions are lower.
TEST_F(PlatformFeedTest, afterAReturnFromAnOlderCopyTheListingHoldsAndThisProcessRegistersAgain)
{
    m_platform.data().overwrite("config", "main",
                                {{"version", 3}, {"routes", boost::json::array()}});
    runUntil(
        m_context, [] { return false; }, 300ms);
    m_platform.data().overwrite("config", "main",
                                {{"version", 4}, {"routes", boost::json::array()}});
    m_platform.data().overwrite("gateways", "host-b", {{"peer", "127.0.0.1:2"}});
    ASSERT_TRUE(joinAndRegister());
    m_feed.startWatching();
    ASSERT_TRUE(membersBecome(2));
    ASSERT_TRUE(runUntil(
        m_context, [&] { return m_state.configVersion() == 4 && m_state.backendRevision() > 0; },
        2s));
    const std::uint64_t revision = m_platform.data().revision();
    const auto age = std::chrono::ceil<Milliseconds>(Clock::now() - m_startedAt) - 200ms;
    m_platform.returnFromCopy(age);
    ASSERT_LT(m_platform.data().revision(), revision);
    ASSERT_FALSE(isRegistered("host-a"));
    EXPECT_TRUE(runUntil(
        m_context, [&] { return isRegistered("host-a"); }, 3s));
    EXPECT_TRUE(runUntil(
        m_context, [&] { return m_observer.recoveries() > 0; }, 3s));
    EXPECT_EQ(m_state.configVersion(), 4U);
    // A registration that the copy lacks says nothing about its process.
    ASSERT_FALSE(isRegistered("host-b"));
    EXPECT_EQ(m_state.members().size(), 2U);
    m_platform.data().overwrite("gateways", "host-b", {{"peer", "127.0.0.1:3"}});
    EXPECT_TRUE(runUntil(
        m_context, [&] { return m_state.members().back().peer.port == 3; }, 5s));
    m_platform.data().remove("gateways", "host-b", std::nullopt);
    EXPECT_TRUE(membersBecome(1));
    EXPECT_EQ(m_state.members().front().name, "host-a");
}

TEST_F(PlatformFeedTest, removedRegistrationIsRestoredByRejoining)
{
    ASSERT_TRUE(joinAndRegister());
    m_feed.startWatching();
    ASSERT_TRUE(membersBecome(1));
    m_platform.data().overwrite("gateways", "host-b", {{"peer", "127.0.0.1:2"}});
    ASSERT_TRUE(membersBecome(2));
    m_platform.data().remove("gateways", "host-a", std::nullopt);
    ASSERT_TRUE(membersBecome(1));
    EXPECT_EQ(m_state.members().front().name, "host-b");
    m_feed.rejoin();
    EXPECT_TRUE(membersBecome(2));
}

} // namespace
} // namespace gwt::test
