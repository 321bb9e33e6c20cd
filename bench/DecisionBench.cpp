#include "gateway/backends/LatencyPicker.h"
#include "gateway/backends/WorkLeftPicker.h"
#include "membership/Ownership.h"
#include "relay/ServiceScheduler.h"

#include <benchmark/benchmark.h>

namespace {

gwt::MemberList makeMembers(std::int64_t count)
{
    gwt::MemberList members;
    for (std::int64_t i = 0; i < count; ++i) {
        gwt::Member member;
        member.id = "relay-" + std::to_string(i);
        member.role = gwt::Role::Relay;
        member.availabilityZone = "az" + std::to_string(i % 6);
        member.isReady = true;
        members.push_back(std::move(member));
    }
    return members;
}

void BM_SliceOwnership(benchmark::State &state)
{
    const gwt::MemberList members = makeMembers(state.range(0));
    for (auto _ : state) {
        benchmark::DoNotOptimize(
            gwt::ownersOf("slice-17", "az1", gwt::Role::Relay, members, gwt::sliceOwnerCount));
    }
}
BENCHMARK(BM_SliceOwnership)->Arg(6)->Arg(100)->Arg(1700);

const gwt::TimePoint start{std::chrono::hours(1)};

gwt::QueuedAttempt makeAttempt(gwt::AttemptId id, std::int64_t ranks)
{
    const auto rank = static_cast<std::int64_t>(id) % ranks;
    gwt::QueuedAttempt attempt;
    attempt.id = id;
    attempt.rank = "rank" + std::to_string(rank);
    attempt.worth = static_cast<double>(rank + 1);
    attempt.floorShare = 0.5 / static_cast<double>(ranks);
    attempt.deadline = start + std::chrono::hours(1);
    return attempt;
}

/// Push and pop with a queue of range(0) attempts over range(1) ranks.
void BM_AttemptQueuePushPop(benchmark::State &state)
{
    gwt::AttemptQueue queue;
    gwt::AttemptId next = 0;
    while (next < static_cast<gwt::AttemptId>(state.range(0)))
        queue.push(makeAttempt(next++, state.range(1)));
    std::vector<gwt::AttemptId> expired;
    const gwt::AttemptQueue::EligibilityCheck anyAttempt
        = [](const gwt::QueuedAttempt &) { return true; };
    for (auto _ : state) {
        queue.push(makeAttempt(next++, state.range(1)));
        benchmark::DoNotOptimize(queue.pop(start, anyAttempt, expired));
    }
}
BENCHMARK(BM_AttemptQueuePushPop)->ArgsProduct({{10, 1000, 100'000}, {3, 16}});

/// Push and remove, as for a cancelled attempt, with a queue of range(0) attempts.
void BM_AttemptQueueRemove(benchmark::State &state)
{
    gwt::AttemptQueue queue;
    gwt::AttemptId next = 0;
    while (next < static_cast<gwt::AttemptId>(state.range(0)))
        queue.push(makeAttempt(next++, 3));
    for (auto _ : state) {
        queue.push(makeAttempt(next, 3));
        benchmark::DoNotOptimize(queue.remove(next++));
    }
}
BENCHMARK(BM_AttemptQueueRemove)->Arg(10)->Arg(1000)->Arg(100'000);

/// Selection among range(0) replicas.
void BM_ReplicaPick(benchmark::State &state)
{
    gwt::ReplicaTable table(gwt::ReplicaPicker::LeastCompletionTime, gwt::EjectionRules{}, 1);
    std::vector<gwt::Replica> replicas;
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        gwt::Replica replica;
        replica.name = "replica" + std::to_string(i);
        replica.slots = 2;
        replicas.push_back(std::move(replica));
    }
    table.configure(replicas);
    for (auto _ : state)
        benchmark::DoNotOptimize(table.pick(start, 3));
}
BENCHMARK(BM_ReplicaPick)->Arg(2)->Arg(5)->Arg(64);

void BM_HedgeDelay(benchmark::State &state)
{
    gwt::HedgePolicy policy;
    for (int i = 0; i < 1000; ++i)
        policy.record("urgent", std::chrono::microseconds(20 * i));
    for (auto _ : state)
        benchmark::DoNotOptimize(policy.delay("urgent", true, gwt::Duration::zero()));
}
BENCHMARK(BM_HedgeDelay);

/// \brief One of three servers with range(0) requests of this process in flight each.
struct PickedServer
{
    explicit PickedServer(std::int64_t requests)
        : inFlight(static_cast<int>(requests))
    {
        score.record(gwt::SendResult::Served, std::chrono::milliseconds(9),
                     std::chrono::milliseconds(8), start);
        work.recordPace(1.1, 1, start);
        const gwt::CostEstimate cost{std::chrono::milliseconds(8), std::chrono::milliseconds(2),
                                     gwt::CostSource::Team};
        for (int i = 0; i < inFlight; ++i)
            work.begin(static_cast<std::uint64_t>(i), cost, 2, start);
    }

    gwt::BackendScore score;
    gwt::ServerWork work;
    int inFlight;
};

/// Chooses among three servers as ServicePool does; \a estimate runs once per decision.
template <typename Picker, typename Estimate>
void pick(benchmark::State &state, Estimate estimate)
{
    const std::vector<PickedServer> servers(3, PickedServer(state.range(0)));
    const std::unique_ptr<gwt::BackendPicker> picker = std::make_unique<Picker>();
    const gwt::TimePoint now = start + std::chrono::milliseconds(5);
    for (auto _ : state) {
        const gwt::CostEstimate cost = estimate(now);
        gwt::Duration least = gwt::Duration::max();
        for (const PickedServer &server : servers) {
            const gwt::ServerLoad load{
                server.score, server.work, server.inFlight, 2, std::chrono::milliseconds(5), false};
            least
                = std::min(least, picker->expected(load, std::chrono::milliseconds(8), cost, now));
        }
        benchmark::DoNotOptimize(least);
    }
}

void BM_PickByLatency(benchmark::State &state)
{
    pick<gwt::LatencyPicker>(state, [](gwt::TimePoint) { return gwt::CostEstimate(); });
}
BENCHMARK(BM_PickByLatency)->Arg(0)->Arg(1)->Arg(2)->Arg(6);

/// Includes the lookup of the estimate among 1000 kinds.
void BM_PickByWorkLeft(benchmark::State &state)
{
    gwt::CostEstimator costs;
    for (int i = 0; i < 10'000; ++i) {
        const gwt::CostKind kind("query", "GET", 100, "team" + std::to_string(i % 1000));
        costs.record(kind, {}, std::chrono::milliseconds(8), start);
    }
    const gwt::CostKind kind("query", "GET", 100, "team7");
    pick<gwt::WorkLeftPicker>(state, [&](gwt::TimePoint now) {
        return costs.estimate(kind, std::chrono::milliseconds(8), now);
    });
}
BENCHMARK(BM_PickByWorkLeft)->Arg(0)->Arg(1)->Arg(2)->Arg(6);

} // namespace
