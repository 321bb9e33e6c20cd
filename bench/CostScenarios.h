#pragma once

#include "CostRoutingModel.h"

namespace gwt {

/// \brief The loads that the pickers are compared under.
inline std::vector<CostScenario> costScenarios()
{
    const RequestKind cheap{0.9, 4, 0.25, 100, "", -1};
    const auto costly
        = [](double factor) { return RequestKind{0.1, 4 * factor, 0.25, 30'000, "", -1}; };
    std::vector<CostScenario> scenarios;
    const auto add = [&](const char *name, std::vector<RequestKind> kinds) -> CostScenario & {
        CostScenario &scenario = scenarios.emplace_back();
        scenario.name = name;
        scenario.kinds = std::move(kinds);
        return scenario;
    };
    add("equal", {cheap, costly(1)});
    add("five_times", {cheap, costly(5)});
    add("fifty_times", {cheap, costly(50)});
    add("heavy_tail", {{0.9, 4, 1.5, 100, "", -1}, {0.1, 40, 1.5, 30'000, "", -1}});
    add("half_speed", {cheap, costly(10)}).paces = {1, 1, 2};
    add("shift", {{0.5, 4, 0.25, 100, "", -1}, {0.5, 40, 0.25, 30'000, "", -1}}).swapsCosts = true;
    add("one_caller", {cheap, {0.1, 40, 0.25, 100, "batch", 0}}).hosts = 2;
    add("off_by_ten", {cheap, costly(10)}).estimateError = 10;
    CostScenario &lying = add("lying_server", {cheap, costly(10)});
    lying.hosts = 4;
    lying.reportsLoad = true;
    lying.lyingServer = 0;
    add("four_hosts", {cheap, costly(10)}).hosts = 4;
    CostScenario &honest = add("honest_reports", {cheap, costly(10)});
    honest.hosts = 4;
    honest.reportsLoad = true;
    add("twenty_hosts", {cheap, costly(10)}).hosts = 20;
    CostScenario &manyReports = add("twenty_reports", {cheap, costly(10)});
    manyReports.hosts = 20;
    manyReports.reportsLoad = true;
    add("no_telling", {cheap, {0.1, 40, 0.25, 100, "", -1}});
    return scenarios;
}

} // namespace gwt
