#include "CostScenarios.h"

#include <benchmark/benchmark.h>

#include <cmath>

namespace {

using gwt::CostRoutingModel;
using gwt::CostRoutingResult;
using gwt::CostScenario;
using gwt::PickerKind;

constexpr int seeds = 5;

/// \brief Geometric means over the seeds, per kind.
std::vector<gwt::KindLatency> latencies(CostScenario scenario, PickerKind picker)
{
    std::vector<gwt::KindLatency> means(scenario.kinds.size());
    for (int seed = 1; seed <= seeds; ++seed) {
        scenario.seed = static_cast<std::uint64_t>(seed);
        const CostRoutingResult result = CostRoutingModel(scenario, picker).run();
        for (std::size_t i = 0; i < means.size(); ++i) {
            means[i].p50Ms += std::log(result.kinds[i].p50Ms) / seeds;
            means[i].p99Ms += std::log(result.kinds[i].p99Ms) / seeds;
            means[i].p999Ms += std::log(result.kinds[i].p999Ms) / seeds;
        }
    }
    for (gwt::KindLatency &mean : means)
        mean = {std::exp(mean.p50Ms), std::exp(mean.p99Ms), std::exp(mean.p999Ms)};
    return means;
}

void compare(benchmark::State &state, CostScenario scenario)
{
    for (auto _ : state) {
        const auto today = latencies(scenario, PickerKind::Latency);
        const auto workLeft = latencies(scenario, PickerKind::WorkLeft);
        for (std::size_t i = 0; i < today.size(); ++i) {
            const std::string kind = i == 0 ? "cheap" : "costly";
            const auto report = [&](const char *name, double before, double after) {
                state.counters[kind + name + "a_latency_ms"] = before;
                state.counters[kind + name + "b_work_left_ms"] = after;
                state.counters[kind + name + "c_ratio"] = after / before;
            };
            report("_p50_", today[i].p50Ms, workLeft[i].p50Ms);
            report("_p99_", today[i].p99Ms, workLeft[i].p99Ms);
            report("_p999_", today[i].p999Ms, workLeft[i].p999Ms);
        }
    }
}

} // namespace

int main(int argc, char **argv)
{
    for (const CostScenario &scenario : gwt::costScenarios()) {
        for (const int percent : {30, 60, 85}) {
            CostScenario loaded = scenario;
            loaded.load = percent / 100.0;
            benchmark::RegisterBenchmark(
                (scenario.name + "/" + std::to_string(percent)).c_str(),
                [loaded](benchmark::State &state) { compare(state, loaded); })
                ->Iterations(1)
                ->Unit(benchmark::kMillisecond);
        }
    }
    benchmark::Initialize(&argc, argv);
    benchmark::RunSpecifiedBenchmarks();
    return 0;
}
