#include "common/Log.h"
#include "control/Control.h"
#include "daemon/CommandLine.h"
#include "daemon/ProgramRunner.h"
#include "standins/backend/BackendFleet.h"

#include <iostream>

int main(int argc, char **argv)
{
    const std::string name = "gwt-fake-backend";
    auto invocation = gwt::parseCommandLine(
        name, "Stand-in for all backend servers of a set of objects.", argc, argv);
    if (const int *status = std::get_if<int>(&invocation))
        return *status;
    auto &[settings, isCheckOnly] = std::get<gwt::ProgramInvocation>(invocation);
    const gwt::Endpoint admin = settings.endpoint("backend.admin");
    const std::string setDirectory = settings.text("backend.set");
    const auto seed = settings.integer("backend.seed", 1, 0, 1'000'000'000);
    const int workers = static_cast<int>(settings.integer("backend.workers", 2, 1, 64));
    gwt::ServiceTime time;
    time.mean = settings.duration("backend.service_time_ms", time.mean, gwt::Milliseconds(1),
                                  gwt::Milliseconds(60'000));
    time.sigma = settings.number("backend.service_time_sigma", time.sigma, 0, 5);
    time.coldStart = settings.duration("backend.cold_start_ms", time.coldStart,
                                       gwt::Milliseconds(0), gwt::Milliseconds(600'000));
    time.queueLimit = static_cast<int>(settings.integer("backend.queue_limit", 64, 0, 100'000));
    const auto logLevel
        = settings.choice("backend.log_level", "info", {"debug", "info", "warn", "error"});
    if (!gwt::reportFaults(settings))
        return gwt::exitUsage;
    const gwt::ParsedConfig parsed = gwt::parseConfigDirectory(setDirectory);
    for (const gwt::ConfigFault &fault : parsed.faults)
        std::cerr << gwt::toString(fault) << "\n";
    if (!parsed.faults.empty())
        return gwt::exitUsage;
    if (isCheckOnly)
        return gwt::exitOk;
    gwt::initializeLog(name, logLevel);
    gwt::WorkerPool pool(workers);
    gwt::BackendFleet fleet(pool.executor(), parsed.set, time, static_cast<std::uint64_t>(seed));
    const gwt::Outcome<gwt::Done> listening = fleet.listen();
    if (!gwt::isOk(listening)) {
        gwt::logError("start_failed", {{"detail", gwt::errorOf(listening).detail}});
        return gwt::exitFailure;
    }
    return gwt::runUntilStopped(pool, {fleet.listenAdmin(admin)});
}
