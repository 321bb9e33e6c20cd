#include "entry/admission/AdmissionPolicy.h"

#include <benchmark/benchmark.h>

namespace {

using namespace std::chrono_literals;

constexpr int entries = 6;
constexpr int slots = 4;
const gwt::TimePoint now{1h};

gwt::AdmissionQuery makeQuery(std::int64_t services)
{
    gwt::AdmissionQuery query;
    query.index = "index";
    query.rank = gwt::Rank{"desk", 500ms, 10, 0.3, 0.9, false, false};
    query.higherRankCount = 1;
    query.deadline = now + query.rank.target;
    for (std::int64_t i = 0; i < services; ++i)
        query.services.push_back("service-" + std::to_string(i));
    return query;
}

gwt::ServiceLoadTable makeLoads(const gwt::AdmissionQuery &query)
{
    gwt::ServiceLoadTable loads({});
    for (const std::string &service : query.services)
        loads.applyReport({service, 5ms, 8ms, slots}, entries, now);
    for (const double worth : {100.0, 10.0, 1.0})
        loads.addInFlight(query.services, worth);
    return loads;
}

void decide(benchmark::State &state, const gwt::AdmissionPolicy &policy)
{
    const gwt::AdmissionQuery query = makeQuery(state.range(0));
    const gwt::ServiceLoadTable loads = makeLoads(query);
    gwt::RankShareMeter shares(1s);
    shares.add(query.index, query.rank.name, now);
    for (auto _ : state)
        benchmark::DoNotOptimize(policy.decide(query, loads, shares, now));
}

void BM_RankedAdmission(benchmark::State &state)
{
    decide(state, gwt::RankedAdmission());
}
BENCHMARK(BM_RankedAdmission)->Arg(20)->Arg(440);

void BM_AdmitAll(benchmark::State &state)
{
    decide(state, gwt::AdmitAllPolicy());
}
BENCHMARK(BM_AdmitAll)->Arg(20)->Arg(440);

void BM_LoadReport(benchmark::State &state)
{
    const gwt::AdmissionQuery query = makeQuery(state.range(0));
    gwt::ServiceLoadTable loads = makeLoads(query);
    const std::vector<std::string> &services = query.services;
    for (auto _ : state) {
        loads.addInFlight(services, 10);
        for (const std::string &service : services)
            loads.applyReport({service, 5ms, 8ms, slots}, entries, now);
        loads.removeInFlight(services, 10);
    }
}
BENCHMARK(BM_LoadReport)->Arg(20)->Arg(440);

} // namespace
