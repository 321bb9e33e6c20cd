#include "gateway/sharing/FleetState.h"
#include "gateway/sharing/StateSharing.h"

#include "LoopbackAddress.h"
#include "ScriptedServer.h"
#include "common/StoreRevision.h"

#include <gtest/gtest.h>

#include <set>

namespace gwt {
namespace {

using namespace std::chrono_literals;

const TimePoint start{1h};
constexpr std::uint16_t peerPort = 7003; ///< same port for all processes, on different addresses

std::vector<FleetMember> makeMembers(std::size_t count)
{
    std::vector<FleetMember> members;
    for (std::size_t i = 0; i < count; ++i) {
        const auto port = static_cast<std::uint16_t>(i + 1);
        members.push_back({"host-" + std::to_string(i), {"127.0.0.1", port}, "north"});
    }
    return members;
}

/// Records the updates that it receives.
class RecordingObserver : public StateObserver
{
public:
    void onConfig(const RoutingConfig &config) override
    {
        updates.push_back("config " + std::to_string(config.version));
    }
    void onBackends(const std::vector<BackendEntry> &entries) override
    {
        updates.push_back("listing " + std::to_string(entries.size()));
    }
    /// Records one line per batch.
    void onBackendChanges(const std::vector<BackendChange> &changes) override
    {
        std::string line;
        for (const BackendChange &change : changes) {
            line.append(line.empty() ? "" : ", ");
            line.append((change.entry ? "has " : "lost ") + change.id);
        }
        updates.push_back(line);
    }
    void onMembers(const std::vector<FleetMember> &members) override
    {
        updates.push_back("members " + std::to_string(members.size()));
    }
    void onRegistryRecovery() override { updates.emplace_back("return"); }

    std::vector<std::string> updates;
};

using Updates = std::vector<std::string>;

RoutingConfig makeConfig(std::uint64_t version)
{
    RoutingConfig config;
    config.version = version;
    Route route;
    route.name = "r";
    route.host = "h";
    route.pathPrefix = "/p/";
    route.target = 50ms;
    route.query = {{"a", "b"}, 5, 0.9};
    config.routes.push_back(route);
    config.services.push_back({"a", "/health", 26});
    return config;
}

BackendEntry makeEntry(const std::string &id)
{
    BackendEntry entry;
    entry.id = id;
    entry.service = "a";
    entry.address = {"127.0.0.1", 80};
    entry.incarnation = 7;
    return entry;
}

class FleetStateTest : public testing::Test
{
protected:
    void synchronize()
    {
        const auto request = m_follower.buildRequest(0ms);
        m_follower.apply(m_watcher.buildReply(request, 0ms, start), start);
    }

    RecordingObserver m_watcherObserver;
    RecordingObserver m_followerObserver;
    FleetState m_watcher{m_watcherObserver};
    FleetState m_follower{m_followerObserver};
};

TEST_F(FleetStateTest, aFollowerReceivesFullStateOnceAndThenOnlyDeltas)
{
    m_watcher.setConfig(makeConfig(3));
    m_watcher.setBackends({makeEntry("x"), makeEntry("y")}, 10);
    m_watcher.setMembers(makeMembers(3), 11);
    synchronize();
    EXPECT_EQ(m_followerObserver.updates, (Updates{"config 3", "listing 2", "members 3"}));
    m_followerObserver.updates.clear();
    synchronize();
    EXPECT_TRUE(m_followerObserver.updates.empty());
    m_watcher.applyBackendChanges({{"y", std::nullopt}}, 12);
    m_watcher.applyBackendChanges({{"z", makeEntry("z")}}, 13);
    synchronize();
    EXPECT_EQ(m_followerObserver.updates, Updates{"lost y, has z"});
    EXPECT_FALSE(m_watcher.hasUpdates(m_follower.buildRequest(0ms)));
}

TEST_F(FleetStateTest, aReplyPreservesRoutesAndBackends)
{
    RecordingObserver recorder;
    m_watcher.setConfig(makeConfig(3));
    m_watcher.setBackends({makeEntry("x")}, 10);
    const auto reply = m_watcher.buildReply(m_follower.buildRequest(0ms), 0ms, start);
    ASSERT_EQ(reply.config().routes_size(), 1);
    EXPECT_EQ(reply.config().routes(0).shards_size(), 2);
    EXPECT_EQ(reply.config().routes(0).target_ms(), 50);
    ASSERT_EQ(reply.changes_size(), 1);
    EXPECT_EQ(reply.changes(0).entry().incarnation(), 7);
}

TEST_F(FleetStateTest, aLateReplyDoesNotReplaceNewerState)
{
    m_watcher.setConfig(makeConfig(3));
    m_watcher.setBackends({makeEntry("x")}, 10);
    const auto late = m_watcher.buildReply(m_follower.buildRequest(0ms), 0ms, start);
    m_watcher.setConfig(makeConfig(4));
    m_watcher.applyBackendChanges({{"x", std::nullopt}}, 12);
    synchronize();
    m_followerObserver.updates.clear();
    m_follower.apply(late, start);
    EXPECT_TRUE(m_followerObserver.updates.empty());
    EXPECT_EQ(m_follower.configVersion(), 4U);
}

// Guards against requests to a server that has left, when its changes arrive a second time, late.
TEST_F(FleetStateTest, aLateBatchOfChangesDoesNotReplaceNewerState)
{
    m_follower.setBackends({makeEntry("x")}, 10);
    m_watcher.setBackends({makeEntry("x")}, 10);
    m_watcher.applyBackendChanges({{"y", makeEntry("y")}}, 11);
    m_watcher.applyBackendChanges({{"y", std::nullopt}}, 12);
    synchronize();
    m_followerObserver.updates.clear();
    m_follower.applyBackendChanges({{"y", makeEntry("y")}}, 11);
    EXPECT_EQ(m_followerObserver.updates, Updates{});
    EXPECT_EQ(m_follower.backendRevision(), 12U);
    m_watcher.applyBackendChanges({{"z", makeEntry("z")}}, 13);
    synchronize();
    EXPECT_EQ(m_followerObserver.updates, Updates{"has z"});
}

TEST_F(FleetStateTest, simultaneousRegistrationsArePublishedAsOneUpdate)
{
    // When an index is repartitioned, the servers of all new shards start within a second or two.
    // Each update makes a process sort all members again, which would overload a small host.
    m_watcher.setBackends({makeEntry("x")}, 10);
    synchronize();
    int watcherUpdates = 0;
    int followerUpdates = 0;
    m_watcher.setUpdateHandler([&] { ++watcherUpdates; });
    m_follower.setUpdateHandler([&] { ++followerUpdates; });
    std::vector<BackendChange> changes;
    for (int i = 0; i < 405; ++i) {
        const std::string id = "new-" + std::to_string(i);
        changes.push_back({id, makeEntry(id)});
    }
    m_followerObserver.updates.clear();
    m_watcher.applyBackendChanges(changes, 11);
    synchronize();
    EXPECT_EQ(watcherUpdates, 1);
    EXPECT_EQ(followerUpdates, 1);
    EXPECT_EQ(m_followerObserver.updates.size(), 1U);
    EXPECT_FALSE(m_watcher.hasUpdates(m_follower.buildRequest(0ms)));
}

TEST_F(FleetStateTest, aFollowerBehindTheChangeLogReceivesAFullListing)
{
    m_watcher.setBackends({makeEntry("x")}, 10);
    synchronize();
    constexpr int changes = 3000; // more than the log holds
    for (int i = 0; i < changes; ++i) {
        const std::string id = "new-" + std::to_string(i);
        m_watcher.applyBackendChanges({{id, makeEntry(id)}}, 11 + static_cast<std::uint64_t>(i));
    }
    m_followerObserver.updates.clear();
    synchronize();
    EXPECT_EQ(m_followerObserver.updates, Updates{"listing 3001"});
}

TEST_F(FleetStateTest, aRegistryRecoveryIsReportedOnce)
{
    m_watcher.recordRegistryRecovery(start);
    synchronize();
    synchronize();
    EXPECT_EQ(m_followerObserver.updates, Updates{"return"});
}

/// A registry that the test controls.
class FakeFeed : public RegistryFeed
{
public:
    FakeFeed(FleetState &state, std::vector<FleetMember> members)
        : m_state(state)
        , m_members(std::move(members))
    { }
    void join(std::function<void()> onDone) override
    {
        m_state.setMembers(m_members, 5);
        onDone();
    }
    void startWatching() override
    {
        isWatching = true;
        if (isReachable) {
            m_state.setConfig(makeConfig(3));
            m_state.setBackends({makeEntry("x")}, 10);
        }
    }
    void rejoin() override { ++rejoinCount; }
    void deregister(const std::string &member) override { deregistered.push_back(member); }
    void stopWatching() override { isWatching = false; }
    bool isCurrent() const override { return isWatching && isReachable; }
    bool isLost() const override { return isWatching && !isReachable; }
    TimePoint provenAt() const override { return isCurrent() ? Clock::now() : TimePoint(); }

    bool isWatching = false;
    bool isReachable = true;
    int rejoinCount = 0;
    std::vector<std::string> deregistered;

private:
    FleetState &m_state;
    std::vector<FleetMember> m_members;
};

/// One process of the fleet.
struct Process
{
    Process(boost::asio::io_context &context, const FleetMember &self,
            const std::vector<FleetMember> &members, Duration minJoinInterval)
        : feed(state, members)
        , sharing(context, SharingOptions{self, {}, FreshnessLimits(3s), minJoinInterval}, state,
                  feed, metrics)
    { }

    RecordingObserver recorder;
    Metrics metrics;
    FleetState state{recorder};
    FakeFeed feed;
    StateSharing sharing;
};

class StateSharingTest : public testing::Test
{
protected:
    void makeProcesses(std::size_t count, Duration minJoinInterval = 0s)
    {
        std::vector<FleetMember> members;
        for (std::size_t i = 0; i < count; ++i) {
            const std::string address = test::ownLoopbackAddress(static_cast<int>(i));
            members.push_back({"host-" + std::to_string(i), {address, peerPort}, "north"});
        }
        for (const FleetMember &member : members)
            m_processes.push_back(
                std::make_unique<Process>(m_context, member, members, minJoinInterval));
    }
    std::size_t watcherCount() const
    {
        return static_cast<std::size_t>(
            std::count_if(m_processes.begin(), m_processes.end(),
                          [](const auto &process) { return process->feed.isWatching; }));
    }
    bool allHaveVersion(std::uint64_t version) const
    {
        return std::all_of(m_processes.begin(), m_processes.end(), [&](const auto &process) {
            return process->state.configVersion() >= version;
        });
    }

    boost::asio::io_context m_context;
    std::vector<std::unique_ptr<Process>> m_processes;
};

TEST_F(StateSharingTest, updatesReachAllWhileOnlyAFewWatchTheRegistry)
{
    makeProcesses(7);
    for (const auto &process : m_processes)
        ASSERT_TRUE(isOk(process->sharing.start()));
    const auto isSettled
        = [&] { return allHaveVersion(3) && watcherCount() == DisseminationTree::s_watcherCount; };
    ASSERT_TRUE(test::runUntil(m_context, isSettled)) << watcherCount();
    for (const auto &process : m_processes) {
        if (process->feed.isWatching)
            process->state.setConfig(makeConfig(8));
    }
    EXPECT_TRUE(test::runUntil(m_context, [&] { return allHaveVersion(8); }));
}

TEST_F(StateSharingTest, aProcessCutOffFromTheRegistryIsUpdatedByItsPeers)
{
    makeProcesses(2);
    m_processes[0]->feed.isReachable = false;
    for (const auto &process : m_processes)
        ASSERT_TRUE(isOk(process->sharing.start()));
    EXPECT_TRUE(test::runUntil(m_context, [&] { return allHaveVersion(3); }));
}

TEST_F(StateSharingTest, whenAllWatchersLoseTheRegistryOthersReplaceThem)
{
    makeProcesses(7);
    for (const auto &process : m_processes)
        ASSERT_TRUE(isOk(process->sharing.start()));
    const auto isSettled
        = [&] { return allHaveVersion(3) && watcherCount() == DisseminationTree::s_watcherCount; };
    ASSERT_TRUE(test::runUntil(m_context, isSettled));
    std::vector<Process *> partitioned;
    for (const auto &process : m_processes) {
        if (!process->feed.isWatching)
            continue;
        process->feed.isReachable = false;
        partitioned.push_back(process.get());
    }
    // They keep polling each other and the rest, which must not make any of them appear current.
    const auto isReplaced = [&] {
        return std::any_of(m_processes.begin(), m_processes.end(),
                           [](const auto &process) { return process->feed.isCurrent(); });
    };
    EXPECT_TRUE(test::runUntil(m_context, isReplaced));
    for (const auto &process : m_processes) {
        if (process->feed.isCurrent())
            process->state.setConfig(makeConfig(8));
    }
    EXPECT_TRUE(test::runUntil(m_context, [&] { return allHaveVersion(8); }));
}

// Guards against late updates because a process that has just started claims to be current.
TEST_F(StateSharingTest, aProcessWithoutStateClaimsNoFreshness)
{
    makeProcesses(20);
    Process &started = *m_processes[0];
    started.feed.isReachable = false;
    ASSERT_TRUE(isOk(started.sharing.start()));
    test::runUntil(
        m_context, [] { return false; }, 100ms);
    EXPECT_GT(started.sharing.registryAge(Clock::now()), 1min);
}

TEST_F(StateSharingTest, aProcessWhoseRegistrationWasRemovedRegistersAgain)
{
    makeProcesses(3);
    for (const auto &process : m_processes)
        ASSERT_TRUE(isOk(process->sharing.start()));
    Process &removedProcess = *m_processes[0];
    ASSERT_TRUE(
        test::runUntil(m_context, [&] { return removedProcess.state.members().size() == 3; }));
    EXPECT_EQ(removedProcess.feed.rejoinCount, 0);
    std::vector<FleetMember> others = removedProcess.state.members();
    std::erase_if(others, [](const auto &member) { return member.name == "host-0"; });
    removedProcess.state.setMembers(others, 6);
    EXPECT_EQ(removedProcess.feed.rejoinCount, 1);
}

TEST_F(StateSharingTest, aRemovalSeenWithinTheMinJoinIntervalIsHandledLater)
{
    constexpr Duration pause = 50ms;
    makeProcesses(1, pause);
    Process &removedProcess = *m_processes[0];
    ASSERT_TRUE(isOk(removedProcess.sharing.start()));
    removedProcess.state.setMembers({{"host-9", {"127.0.0.1", 1}, "north"}}, 6);
    EXPECT_EQ(removedProcess.feed.rejoinCount, 0);
    test::runUntil(
        m_context, [] { return false; }, 2 * pause);
    removedProcess.state.setConfig(makeConfig(9)); // any other update
    EXPECT_EQ(removedProcess.feed.rejoinCount, 1);
}

// Guards against a process that stays unregistered because the store, which has returned from an
// older copy, has lost its registration just after it was made: no other update follows.
TEST_F(StateSharingTest, aRegistrationLostInANewEraIsMadeAgainWithoutAnotherUpdate)
{
    makeProcesses(1, 50ms);
    Process &lost = *m_processes[0];
    ASSERT_TRUE(isOk(lost.sharing.start()));
    lost.state.setMembers({{"host-9", {"127.0.0.1", 1}, "north"}}, combineStoreRevision(1, 3));
    EXPECT_EQ(lost.feed.rejoinCount, 0);
    EXPECT_TRUE(test::runUntil(
        m_context, [&] { return lost.feed.rejoinCount > 0; }, 3s));
}

// Members stay listed when the store has lost their registration, so the list tells nothing.
TEST_F(StateSharingTest, aProcessRegistersAgainInANewEraAlthoughItIsListed)
{
    makeProcesses(1, 50ms);
    Process &listed = *m_processes[0];
    ASSERT_TRUE(isOk(listed.sharing.start()));
    listed.state.setMembers(listed.state.members(), combineStoreRevision(1, 3));
    EXPECT_TRUE(test::runUntil(
        m_context, [&] { return listed.feed.rejoinCount > 0; }, 3s));
    test::runUntil(
        m_context, [] { return false; }, 200ms);
    EXPECT_EQ(listed.feed.rejoinCount, 1);
}

} // namespace
} // namespace gwt
