#include "gateway/sharing/FleetState.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <random>

namespace gwt {
namespace {

using namespace std::chrono_literals;

const TimePoint start{1h};

class StateRecorder : public StateObserver
{
public:
    void onConfig(const RoutingConfig &config) override { lastConfig = config; }
    void onBackends(const std::vector<BackendEntry> &) override { ++listingCount; }
    void onBackendChanges(const std::vector<BackendChange> &) override { }
    void onMembers(const std::vector<FleetMember> &) override { }
    void onEvacuations(const std::set<std::string> &) override { ++evacuationCount; }
    void onRegistryRecovery() override { }

    RoutingConfig lastConfig;
    int listingCount = 0;
    int evacuationCount = 0;
};

Route makeRoute(int number, int version)
{
    Route route;
    route.name = "route-" + std::to_string(number);
    route.host = "h";
    route.pathPrefix = "/" + route.name + "/";
    route.timeout = Milliseconds(1000 + version);
    for (int shard = 0; shard < 135; ++shard)
        route.query.shards.push_back("shard-" + std::to_string(shard));
    return route;
}

RoutingConfig makeConfig(std::uint64_t version, int routes)
{
    RoutingConfig config;
    config.version = version;
    for (int i = 0; i < routes; ++i)
        config.routes.push_back(makeRoute(i, 0));
    for (int i = 0; i < 225; ++i)
        config.services.push_back({"shard-" + std::to_string(i), "/health", 55});
    return config;
}

std::vector<BackendEntry> makeEntries(int count)
{
    std::vector<BackendEntry> entries;
    for (int i = 0; i < count; ++i) {
        BackendEntry entry;
        entry.id = "i-" + std::to_string(i);
        entry.service = "shard-" + std::to_string(i % 135);
        entry.address = {"10.1.64.9", 8081};
        entries.push_back(entry);
    }
    return entries;
}

std::vector<FleetMember> makeMembers(int count)
{
    std::vector<FleetMember> members;
    for (int i = 100; i < 100 + count; ++i)
        members.push_back({"host-" + std::to_string(i), {"10.1.0.9", 8106}, "north"});
    return members;
}

/// Routes by name, because their order has no meaning.
std::map<std::string, Milliseconds> routesOf(const RoutingConfig &config)
{
    std::map<std::string, Milliseconds> routes;
    for (const Route &route : config.routes)
        routes[route.name] = route.timeout;
    return routes;
}

/// Updates \a to from \a from; returns the bytes of the reply.
std::size_t synchronize(const FleetState &from, FleetState &to)
{
    const auto reply = from.buildReply(to.buildRequest(0ms), 0ms, start);
    to.apply(reply, start);
    return reply.ByteSizeLong();
}

class StateDeltaTest : public testing::Test
{
protected:
    struct Process
    {
        StateRecorder observer;
        FleetState state{observer};
    };

    Process m_watcher;
    Process m_follower;
};

TEST_F(StateDeltaTest, aChangedRouteIsSentAsADelta)
{
    // With 55,000 configurations a day and 3,400 processes, full copies would saturate the links.
    RoutingConfig config = makeConfig(3, 60);
    m_watcher.state.setConfig(config);
    const std::size_t fullBytes = synchronize(m_watcher.state, m_follower.state);
    config.version = 9;
    config.routes[7] = makeRoute(7, 9);
    config.routes.erase(config.routes.begin() + 20);
    m_watcher.state.setConfig(config);
    EXPECT_LT(synchronize(m_watcher.state, m_follower.state), fullBytes / 20);
    EXPECT_EQ(routesOf(m_follower.observer.lastConfig), routesOf(config));
    EXPECT_EQ(m_follower.observer.lastConfig.version, 9U);
}

TEST_F(StateDeltaTest, aRemovedKeyIsSentAsADelta)
{
    // A process that missed it would go on accepting the key.
    RoutingConfig config = makeConfig(3, 2);
    config.hasTeams = true;
    config.teams = {{"red", {digestOfKey("k1"), digestOfKey("k2")}, 1, {5, 2}},
                    {"blue", {digestOfKey("k3")}, std::nullopt, {}}};
    m_watcher.state.setConfig(config);
    synchronize(m_watcher.state, m_follower.state);
    config.version = 4;
    config.teams[0].keys.pop_back();
    config.teams.pop_back();
    m_watcher.state.setConfig(config);
    synchronize(m_watcher.state, m_follower.state);
    const RoutingConfig &applied = m_follower.observer.lastConfig;
    EXPECT_TRUE(applied.hasTeams);
    ASSERT_EQ(applied.teams.size(), 1U);
    EXPECT_EQ(applied.teams[0].keys, std::vector{digestOfKey("k1")});
    EXPECT_EQ(applied.teams[0].rank, 1);
    EXPECT_EQ(applied.teams[0].quota, (TeamQuota{5, 2}));
}

TEST_F(StateDeltaTest, aNewMemberIsSentAsADelta)
{
    m_watcher.state.setMembers(makeMembers(300), 5);
    const std::size_t fullBytes = synchronize(m_watcher.state, m_follower.state);
    m_watcher.state.setMembers(makeMembers(301), 6);
    EXPECT_LT(synchronize(m_watcher.state, m_follower.state), fullBytes / 20);
    EXPECT_EQ(m_follower.state.members(), makeMembers(301));
}

TEST_F(StateDeltaTest, aNewRegistryListingIsSentAsADelta)
{
    // After each outage of the registry, the watchers read a full listing.
    m_watcher.state.setBackends(makeEntries(675), 10);
    const std::size_t fullBytes = synchronize(m_watcher.state, m_follower.state);
    m_watcher.state.setBackends(makeEntries(674), 20);
    EXPECT_LT(synchronize(m_watcher.state, m_follower.state), fullBytes / 20);
    EXPECT_EQ(m_follower.observer.listingCount, 1);
    EXPECT_EQ(m_follower.state.backendRevision(), 20U);
}

TEST_F(StateDeltaTest, knownMembersAreNotSentRepeatedly)
{
    m_watcher.state.setMembers(makeMembers(3), 7);
    m_follower.state.setMembers(makeMembers(3), 5);
    synchronize(m_watcher.state, m_follower.state);
    EXPECT_FALSE(m_watcher.state.hasUpdates(m_follower.state.buildRequest(0ms)));
}

TEST_F(StateDeltaTest, aProcessWithoutDeltaSupportIsSentFullState)
{
    m_watcher.state.setConfig(makeConfig(3, 5));
    m_watcher.state.setMembers(makeMembers(3), 5);
    synchronize(m_watcher.state, m_follower.state);
    m_watcher.state.setConfig(makeConfig(4, 5));
    m_watcher.state.setMembers(makeMembers(4), 6);
    auto request = m_follower.state.buildRequest(0ms);
    request.set_takes_differences(false);
    const auto reply = m_watcher.state.buildReply(request, 0ms, start);
    EXPECT_EQ(reply.config().base_version(), 0U);
    EXPECT_EQ(reply.config().routes_size(), 5);
    EXPECT_EQ(reply.member_base(), 0U);
    EXPECT_EQ(reply.members_size(), 4);
}

/// A part of the state in which one process misses a change and its reversal.
struct RevertedChangeCase
{
    const char *name;
    void (*set)(FleetState &, int variant, std::uint64_t revision);
    std::string (*itemCount)(const FleetState &, const StateRecorder &);
};

std::string routeCount(const FleetState &, const StateRecorder &observer)
{
    return std::to_string(observer.lastConfig.routes.size());
}

std::string backendCount(const FleetState &state, const StateRecorder &)
{
    return std::to_string(state.buildReply({}, 0ms, start).changes_size());
}

std::string memberCount(const FleetState &state, const StateRecorder &)
{
    return std::to_string(state.members().size());
}

class RevertedChangeTest : public testing::TestWithParam<RevertedChangeCase>
{
protected:
    /// \brief Lets one process skip a revision that the other one holds and the next one reverts.
    void diverge()
    {
        GetParam().set(m_skipping, 5, 10);
        GetParam().set(m_follower, 5, 10);
        GetParam().set(m_follower, 4, 20);
        GetParam().set(m_skipping, 5, 30);
    }

    StateRecorder m_skippingObserver;
    StateRecorder m_followerObserver;
    FleetState m_skipping{m_skippingObserver};
    FleetState m_follower{m_followerObserver};
};

TEST_P(RevertedChangeTest, aProcessThatMissedTheReversalIsSentFullState)
{
    // One watcher skips a revision that the follower has received from another watcher.
    StateRecorder observers[3];
    FleetState skipping(observers[0]);
    FleetState other(observers[1]);
    FleetState follower(observers[2]);
    GetParam().set(skipping, 5, 10);
    GetParam().set(other, 5, 10);
    synchronize(skipping, follower);
    GetParam().set(other, 4, 20);
    synchronize(other, follower);
    GetParam().set(skipping, 5, 30);
    synchronize(skipping, follower); // the delta is rejected
    synchronize(skipping, follower); // the full state is applied
    const auto itemCount = GetParam().itemCount;
    EXPECT_EQ(itemCount(follower, observers[2]), itemCount(skipping, observers[0]));
    EXPECT_FALSE(skipping.hasUpdates(follower.buildRequest(0ms)));
}

// Guards against a configuration that is late because a delta that could not be applied counted as
// proof that the state is complete.
TEST_P(RevertedChangeTest, aRejectedDeltaIsNotACompleteUpdate)
{
    diverge();
    const auto reply
        = [&] { return m_skipping.buildReply(m_follower.buildRequest(0ms), 0ms, start); };
    EXPECT_FALSE(m_follower.apply(reply(), start));
    EXPECT_TRUE(m_follower.apply(reply(), start));
}

// Guards against a process that requests the full state again and again although the registry
// itself has sent it the update that a delta failed to bring.
TEST_P(RevertedChangeTest, aRejectedDeltaIsForgottenOnceTheRegistrySendsTheUpdate)
{
    diverge();
    synchronize(m_skipping, m_follower);
    GetParam().set(m_follower, 5, 30);
    EXPECT_FALSE(m_skipping.hasUpdates(m_follower.buildRequest(0ms)));
}

INSTANTIATE_TEST_SUITE_P(
    Parts, RevertedChangeTest,
    testing::Values(RevertedChangeCase{"configuration",
                                       [](FleetState &state, int variant, std::uint64_t revision) {
                                           state.setConfig(makeConfig(revision, variant));
                                       },
                                       routeCount},
                    RevertedChangeCase{"backends",
                                       [](FleetState &state, int variant, std::uint64_t revision) {
                                           state.setBackends(makeEntries(variant), revision);
                                       },
                                       backendCount},
                    RevertedChangeCase{"members",
                                       [](FleetState &state, int variant, std::uint64_t revision) {
                                           state.setMembers(makeMembers(variant), revision);
                                       },
                                       memberCount}),
    [](const auto &info) { return std::string(info.param.name); });

/// Random changes, which a chain of processes receives at random times.
class DeltaChainTest : public testing::TestWithParam<unsigned>
{
protected:
    int pick(int count) { return std::uniform_int_distribution(0, count - 1)(m_random); }

    void applyRandomChange(RoutingConfig &config)
    {
        const int number = pick(40);
        const std::string name = makeRoute(number, 0).name;
        std::erase_if(config.routes, [&](const Route &route) { return route.name == name; });
        if (pick(3) > 0)
            config.routes.push_back(makeRoute(number, static_cast<int>(config.version)));
    }

    std::mt19937 m_random{GetParam()};
};

TEST_P(DeltaChainTest, allProcessesConverge)
{
    std::vector<std::unique_ptr<StateRecorder>> observers;
    std::vector<std::unique_ptr<FleetState>> chain;
    for (int i = 0; i < 6; ++i) {
        observers.push_back(std::make_unique<StateRecorder>());
        chain.push_back(std::make_unique<FleetState>(*observers.back()));
    }
    RoutingConfig config = makeConfig(1, 20);
    for (int step = 0; step < 400; ++step) {
        config.version += 1 + static_cast<std::uint64_t>(pick(5));
        applyRandomChange(config);
        if (pick(3) > 0) // two watchers, neither of which sees every version
            chain[static_cast<std::size_t>(pick(2))]->setConfig(config);
        const auto from = static_cast<std::size_t>(pick(6));
        const auto to = static_cast<std::size_t>(pick(6));
        synchronize(*chain[from], *chain[to]);
    }
    chain[0]->setConfig(config);
    for (const auto &process : chain) {
        synchronize(*chain[0], *process); // may be a delta that is rejected
        synchronize(*chain[0], *process);
    }
    for (const auto &observer : observers) {
        EXPECT_EQ(observer->lastConfig.version, config.version);
        EXPECT_EQ(routesOf(observer->lastConfig), routesOf(config));
    }
}

TEST_P(DeltaChainTest, aVersionHasTheSameRoutesInAllProcesses)
{
    StateRecorder observers[3];
    FleetState states[3]
        = {FleetState(observers[0]), FleetState(observers[1]), FleetState(observers[2])};
    std::map<std::uint64_t, std::map<std::string, Milliseconds>> published;
    RoutingConfig config = makeConfig(1, 20);
    for (int step = 0; step < 400; ++step) {
        ++config.version;
        applyRandomChange(config);
        published[config.version] = routesOf(config);
        const int watcher = pick(2);
        states[watcher].setConfig(config);
        const int from = pick(3);
        synchronize(states[from], states[2]);
        const RoutingConfig &lastConfig = observers[2].lastConfig;
        if (lastConfig.version > 0) {
            ASSERT_EQ(routesOf(lastConfig), published[lastConfig.version])
                << "version " << lastConfig.version;
        }
    }
}

INSTANTIATE_TEST_SUITE_P(Seeds, DeltaChainTest, testing::Range(1U, 9U));

// Without this, hosts that do not follow the store would go on sending to the zone; one of an older
// version would be answered without a wait for ever.
TEST(EvacuationSharingTest, theNewestSetReachesProcessesThatTakeIt)
{
    StateRecorder observer;
    FleetState source(observer);
    source.setEvacuations({"a", "b"}, 7);
    StateRecorder receiverObserver;
    FleetState receiver(receiverObserver);
    const wire::FleetStateRequest first = receiver.buildRequest(0ms);
    EXPECT_TRUE(source.hasUpdates(first));
    const wire::FleetStateReply reply = source.buildReply(first, 0ms, start);
    EXPECT_TRUE(receiver.apply(reply, start));
    EXPECT_EQ(receiver.evacuations(), (std::set<std::string>{"a", "b"}));
    EXPECT_FALSE(source.hasUpdates(receiver.buildRequest(0ms)));
    receiver.setEvacuations({}, 9);
    receiver.apply(reply, start);
    EXPECT_TRUE(receiver.evacuations().empty()) << "a late reply";
    EXPECT_EQ(receiverObserver.evacuationCount, 2);
    wire::FleetStateRequest older;
    EXPECT_FALSE(source.hasUpdates(older));
    EXPECT_EQ(source.buildReply(older, 0ms, start).evacuation_revision(), 0U);
}

} // namespace
} // namespace gwt
