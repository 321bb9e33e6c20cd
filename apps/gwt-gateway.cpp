#include "common/Log.h"
#include "gateway/Gateway.h"
#include "platform/PlatformFeed.h"
#include "platform/PlatformHeaders.h"
#include "platform/SettingsWatch.h"

#include <csignal>

namespace {

constexpr int exitFailure = 1;
constexpr int exitUsage = 2;

using gwt::platform::PlatformSettings;

gwt::RetryBudgetRules retryBudgetRulesOf(const PlatformSettings &settings)
{
    return {settings.retryBudgetRatio, settings.retryBudgetExtra, settings.retryBudgetWindow};
}

gwt::Milliseconds shutdownTimeoutOf(const PlatformSettings &settings)
{
    // Reserved at the end of the time from SIGTERM to SIGKILL.
    constexpr std::chrono::milliseconds killMargin{500};
    return settings.shutdownGrace - killMargin;
}

gwt::GatewayOptions optionsOf(const PlatformSettings &settings)
{
    gwt::GatewayOptions options;
    options.hostName = settings.hostName;
    options.availabilityZone = settings.availabilityZone;
    options.retryBudget = retryBudgetRulesOf(settings);
    options.shutdownTimeout = shutdownTimeoutOf(settings);
    options.keyProofLimit = settings.keyProofLimit;
    return options;
}

int run(const std::string &path, const PlatformSettings &settings)
{
    boost::asio::io_context context(BOOST_ASIO_CONCURRENCY_HINT_UNSAFE);
    gwt::TimerQueue timers(context);
    gwt::Metrics metrics;
    const gwt::HeaderNames names = gwt::platform::platformHeaders();
    const gwt::GatewayOptions options = optionsOf(settings);
    gwt::GatewayCore core(context, timers, options, names, metrics);
    gwt::GatewayListeners listeners;
    listeners.callers = settings.callers;
    listeners.readiness = settings.readiness;
    listeners.readinessPath = gwt::platform::readinessPath;
    gwt::GatewayProcess process(context, timers, core, options, listeners, metrics);
    gwt::FleetState state(core);
    const gwt::FleetMember self{settings.hostName, settings.peer, settings.availabilityZone};
    const gwt::FreshnessLimits limits(settings.updateLimit, settings.drainLimit);
    const gwt::SharingOptions sharingOptions{self, settings.seeds, limits};
    gwt::platform::PlatformFeed feed(context, timers, metrics, settings.store, self, state,
                                     limits.watchWait(), limits.backendWatchWait());
    gwt::StateSharing sharing(context, sharingOptions, state, feed, metrics);
    core.setConfigAge([&sharing] { return sharing.registryAge(gwt::Clock::now()); });
    gwt::platform::SettingsWatch watch(timers, path, settings,
                                       [&core, &process](const PlatformSettings &changed) {
                                           core.setRetryBudgetRules(retryBudgetRulesOf(changed));
                                           core.setKeyProofLimit(changed.keyProofLimit);
                                           process.setShutdownTimeout(shutdownTimeoutOf(changed));
                                       });
    const gwt::GatewayStatus status(options, core, state, sharing);
    const auto started = process.start([&watch] { watch.reload(); },
                                       [&status](const std::string &service, bool isStopping) {
                                           const gwt::TimePoint now = gwt::Clock::now();
                                           return service.empty() ? status.summary(isStopping, now)
                                                                  : status.service(service, now);
                                       });
    if (!gwt::isOk(started)) {
        gwt::logError("start_failed", {{"detail", gwt::errorOf(started).detail}});
        return exitFailure;
    }
    const auto shared = sharing.start();
    if (!gwt::isOk(shared)) {
        gwt::logError("start_failed", {{"detail", gwt::errorOf(shared).detail}});
        return exitFailure;
    }
    watch.start();
    context.run();
    return 0;
}

} // namespace

int main()
{
    // Ignore SIGHUP until its handler is set: its default action would terminate the process, and
    // a reload before then is unnecessary as the settings are about to be read.
    std::signal(SIGHUP, SIG_IGN);
    gwt::initializeLog("gwt-gateway", "info");
    const std::string path = gwt::platform::platformSettingsPath();
    const auto settings = gwt::platform::readPlatformSettings(path);
    if (!gwt::isOk(settings)) {
        gwt::logError("start_failed", {{"detail", gwt::errorOf(settings).detail}});
        return exitUsage;
    }
    return run(path, gwt::valueOf(settings));
}
