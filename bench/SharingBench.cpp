// CPU time that a process of a large fleet needs when an index is repartitioned.
#include "gateway/sharing/DisseminationTree.h"
#include "gateway/sharing/FleetState.h"

#include <benchmark/benchmark.h>

namespace {

constexpr int members = 66;
constexpr int serversPerShard = 3;
constexpr int queryRoutes = 20;

std::string shardName(std::int64_t shard)
{
    return "shard-" + std::to_string(shard);
}

/// \brief Ignores all updates.
class NullObserver : public gwt::StateObserver
{
public:
    void onConfig(const gwt::RoutingConfig &) override { }
    void onBackends(const std::vector<gwt::BackendEntry> &) override { }
    void onBackendChanges(const std::vector<gwt::BackendChange> &) override { }
    void onMembers(const std::vector<gwt::FleetMember> &) override { }
    void onRegistryRecovery() override { }
};

gwt::RoutingConfig makeConfig(std::int64_t shards)
{
    gwt::RoutingConfig config;
    config.version = 1;
    std::vector<std::string> names;
    for (std::int64_t i = 0; i < shards; ++i) {
        names.push_back(shardName(i));
        config.services.push_back({names.back(), "/health", 55});
    }
    for (int i = 0; i < queryRoutes; ++i) {
        gwt::Route route;
        route.name = "route-" + std::to_string(i);
        route.host = "h";
        route.pathPrefix = "/" + route.name + "/";
        route.query = {names, 20, 0.95};
        config.routes.push_back(std::move(route));
    }
    return config;
}

std::vector<gwt::BackendChange> makeRegistrations(std::int64_t shards)
{
    std::vector<gwt::BackendChange> changes;
    for (std::int64_t i = 0; i < shards * serversPerShard; ++i) {
        gwt::BackendEntry entry;
        entry.id = "i-" + std::to_string(i);
        entry.service = shardName(i / serversPerShard);
        entry.address = {"10.1.64.9", 8081};
        entry.slots = 2;
        changes.push_back({entry.id, entry});
    }
    return changes;
}

/// \brief A process that sorts its members after each update, as StateSharing does.
class SharingProcess
{
public:
    SharingProcess()
    {
        std::vector<gwt::FleetMember> list;
        list.reserve(members);
        for (int i = 0; i < members; ++i)
            list.push_back({"host-" + std::to_string(i), {"10.1.0.9", 8106}, "north"});
        m_state.setMembers(list, 1);
        m_state.setUpdateHandler([this] { m_tree.setMembers(m_state.members()); });
    }
    gwt::FleetState &state() { return m_state; }

private:
    NullObserver m_observer;
    gwt::FleetState m_state{m_observer};
    gwt::DisseminationTree m_tree{"host-0"};
};

/// The servers of range(0) new shards register, and another process receives the update.
void BM_Registrations(benchmark::State &state)
{
    const auto changes = makeRegistrations(state.range(0));
    for (auto _ : state) {
        SharingProcess source;
        SharingProcess follower;
        source.state().setBackends({}, 1);
        follower.state().setBackends({}, 1);
        source.state().applyBackendChanges(changes, 2);
        const auto request = follower.state().buildRequest(gwt::Milliseconds(0));
        const gwt::TimePoint now;
        follower.state().apply(source.state().buildReply(request, gwt::Duration::zero(), now), now);
    }
}
BENCHMARK(BM_Registrations)->Arg(20)->Arg(135)->Unit(benchmark::kMicrosecond);

/// Encodes the configuration of range(0) shards for another process.
void BM_EncodeConfig(benchmark::State &state)
{
    SharingProcess source;
    source.state().setConfig(makeConfig(state.range(0)));
    const gwt::wire::FleetStateRequest request;
    const gwt::TimePoint now;
    for (auto _ : state) {
        const auto reply = source.state().buildReply(request, gwt::Duration::zero(), now);
        benchmark::DoNotOptimize(reply.SerializeAsString());
    }
}
BENCHMARK(BM_EncodeConfig)->Arg(20)->Arg(135)->Unit(benchmark::kMicrosecond);

/// Decodes and applies the same.
void BM_ApplyConfig(benchmark::State &state)
{
    SharingProcess source;
    source.state().setConfig(makeConfig(state.range(0)));
    const gwt::TimePoint now;
    const std::string bytes
        = source.state().buildReply({}, gwt::Duration::zero(), now).SerializeAsString();
    for (auto _ : state) {
        SharingProcess follower;
        gwt::wire::FleetStateReply reply;
        reply.ParseFromString(bytes);
        follower.state().apply(reply, now);
    }
}
BENCHMARK(BM_ApplyConfig)->Arg(20)->Arg(135)->Unit(benchmark::kMicrosecond);

} // namespace
