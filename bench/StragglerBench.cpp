#include "StragglerModel.h"

#include <benchmark/benchmark.h>

#include <string>

namespace {

using gwt::RelayOptions;
using gwt::StragglerModel;
using gwt::StragglerResult;
using gwt::StragglerScenario;

/// \brief Random selection among free slots, FIFO queue, no hedging, no ejection.
RelayOptions baseline()
{
    RelayOptions options;
    options.queue = gwt::QueueOrder::Fifo;
    options.picker = gwt::ReplicaPicker::Random;
    options.hedging.isEnabled = false;
    options.ejection.isEnabled = false;
    return options;
}

void report(benchmark::State &state, const std::string &name, const StragglerResult &result,
            const StragglerResult &baseline)
{
    state.counters[name + "_p50_ms"] = result.p50Ms;
    state.counters[name + "_p99_ms"] = result.p99Ms;
    state.counters[name + "_p999_ms"] = result.p999Ms;
    state.counters[name + "_p99_ratio"] = result.p99Ms / baseline.p99Ms;
}

/// \brief Compares policies; ratios are to a replica drawn at random on arrival, without hedging.
void compare(benchmark::State &state, StragglerScenario scenario)
{
    scenario.seed = static_cast<std::uint64_t>(state.range(0));
    StragglerScenario pinnedScenario = scenario;
    pinnedScenario.isPinned = true;
    RelayOptions noEjectionOptions;
    noEjectionOptions.ejection.isEnabled = false;
    for (auto _ : state) {
        const StragglerResult policy = StragglerModel(scenario, RelayOptions{}).run();
        const StragglerResult noEjection = StragglerModel(scenario, noEjectionOptions).run();
        const StragglerResult central = StragglerModel(scenario, baseline()).run();
        const StragglerResult pinned = StragglerModel(pinnedScenario, baseline()).run();
        report(state, "policy", policy, pinned);
        report(state, "no_ejection", noEjection, pinned);
        report(state, "central_random", central, pinned);
        report(state, "pinned_random", pinned, pinned);
        state.counters["policy_extra_load"] = policy.extraShare;
        state.counters["policy_ejections"] = policy.ejections;
    }
}

void BM_NoStragglers(benchmark::State &state)
{
    compare(state, StragglerScenario{});
}
BENCHMARK(BM_NoStragglers)->DenseRange(1, 5)->Iterations(1)->Unit(benchmark::kMillisecond);

void BM_OneSlowReplica(benchmark::State &state)
{
    StragglerScenario scenario;
    scenario.slowReplicaFactor = 20;
    compare(state, scenario);
}
BENCHMARK(BM_OneSlowReplica)->DenseRange(1, 5)->Iterations(1)->Unit(benchmark::kMillisecond);

void BM_SlowReplies(benchmark::State &state)
{
    StragglerScenario scenario;
    scenario.slowReplyShare = 0.05;
    compare(state, scenario);
}
BENCHMARK(BM_SlowReplies)->DenseRange(1, 5)->Iterations(1)->Unit(benchmark::kMillisecond);

} // namespace
