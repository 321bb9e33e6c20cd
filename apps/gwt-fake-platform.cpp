#include "common/Log.h"
#include "control/Control.h"
#include "daemon/CommandLine.h"
#include "daemon/ProgramRunner.h"
#include "standins/platform/FakePlatform.h"

namespace {

/// \brief Simulates the index builder: version 1 of each index in the set, with all its services.
void buildIndexes(gwt::FakePlatform &platform, const gwt::ConfigSet &set)
{
    std::map<std::string, gwt::IndexVersion> versions;
    for (const auto &[name, service] : set.services) {
        gwt::IndexVersion &version = versions[service.index];
        version.index = service.index;
        version.version = 1;
        version.services.push_back(name);
    }
    for (const auto &[index, version] : versions) {
        platform.store().overwrite(gwt::indexVersionKey(index, 1),
                                   gwt::encodeIndexVersion(version));
    }
}

} // namespace

int main(int argc, char **argv)
{
    const std::string name = "gwt-fake-platform";
    auto invocation = gwt::parseCommandLine(
        name, "Stand-in for the platform: object store and host list.", argc, argv);
    if (const int *status = std::get_if<int>(&invocation))
        return *status;
    auto &[settings, isCheckOnly] = std::get<gwt::ProgramInvocation>(invocation);
    const gwt::Endpoint listen = settings.endpoint("platform.listen");
    const gwt::Endpoint admin = settings.endpoint("platform.admin");
    const std::string setDirectory = settings.text("platform.build_indexes_of", "");
    const auto logLevel
        = settings.choice("platform.log_level", "info", {"debug", "info", "warn", "error"});
    if (!gwt::reportFaults(settings))
        return gwt::exitUsage;
    if (isCheckOnly)
        return gwt::exitOk;
    gwt::initializeLog(name, logLevel);
    gwt::WorkerPool pool(2);
    gwt::FakePlatform platform(pool.executor());
    if (!setDirectory.empty())
        buildIndexes(platform, gwt::parseConfigDirectory(setDirectory).set);
    return gwt::runUntilStopped(pool, {platform.listen(listen), platform.listenAdmin(admin)});
}
