#include "common/Allocator.h"
#include "common/Log.h"
#include "common/Random.h"
#include "gateway/Gateway.h"
#include "platform/LeaseFeed.h"
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
    options.hostLimits = settings.hostLimits.withinSystem();
    options.picker = settings.picker;
    return options;
}

/// Limits a connect to another gateway process.
constexpr std::chrono::milliseconds peerConnectTimeout{300};

/// \brief A text that differs from that of any other process.
std::string makeIncarnation()
{
    gwt::RandomEngine random = gwt::makeSeededEngine();
    return std::to_string(random()) + "-" + std::to_string(random());
}

int run(const std::string &path, const PlatformSettings &settings)
{
    boost::asio::io_context context(BOOST_ASIO_CONCURRENCY_HINT_UNSAFE);
    gwt::TimerQueue timers(context);
    gwt::Metrics metrics;
    const gwt::HeaderNames names = gwt::platform::platformHeaders();
    const gwt::GatewayOptions options = optionsOf(settings);
    const gwt::FleetMember self{settings.hostName, settings.peer, settings.availabilityZone};
    gwt::platform::LeaseFeed leases(context, timers, metrics, settings.store);
    gwt::PeerClient peers(context.get_executor(), peerConnectTimeout);
    const gwt::QuotaOptions quotaOptions{self, makeIncarnation(), settings.quotas, {}};
    gwt::QuotaService quotaService(context, quotaOptions, leases, peers, metrics);
    gwt::QuotaClient quotas(context, quotaOptions, quotaService, peers, metrics);
    gwt::GatewayCore core(context, timers, options, names, metrics, &quotas);
    gwt::GatewayListeners listeners;
    listeners.callers = settings.callers;
    listeners.readiness = settings.readiness;
    listeners.readinessPath = gwt::platform::readinessPath;
    gwt::GatewayProcess process(context, timers, core, options, listeners, metrics);
    gwt::StateObservers observers({&quotaService, &quotas, &core});
    gwt::FleetState state(observers);
    const gwt::FreshnessLimits limits(settings.updateLimit, settings.drainLimit);
    const gwt::SharingOptions sharingOptions{self, settings.seeds, limits};
    using Evacuations = gwt::platform::PlatformFeed::Evacuations;
    gwt::platform::PlatformFeed feed(context, timers, metrics, settings.store, self, state,
                                     limits.watchWait(), limits.backendWatchWait(),
                                     settings.hasEvacuations ? Evacuations::Followed
                                                             : Evacuations::Ignored);
    gwt::StateSharing sharing(context, sharingOptions, state, feed, metrics);
    quotaService.setStateAge([&sharing] { return sharing.registryAge(gwt::Clock::now()); });
    core.setConfigAge([&sharing] { return sharing.registryAge(gwt::Clock::now()); });
    gwt::platform::SettingsWatch watch(timers, path, settings,
                                       [&core, &process](const PlatformSettings &changed) {
                                           core.setRetryBudgetRules(retryBudgetRulesOf(changed));
                                           core.setKeyProofLimit(changed.keyProofLimit);
                                           process.setShutdownTimeout(shutdownTimeoutOf(changed));
                                       });
    const gwt::GatewayStatus status(options, core, state, sharing);
    const auto started = process.start(
        [&watch] { watch.reload(); }, [&quotaService] { quotaService.stop(); },
        [&status](const std::string &service, bool isStopping) {
            const gwt::TimePoint now = gwt::Clock::now();
            return service.empty() ? status.summary(isStopping, now) : status.service(service, now);
        });
    if (!gwt::isOk(started)) {
        gwt::logError("start_failed", {{"detail", gwt::errorOf(started).detail}});
        return exitFailure;
    }
    std::function<gwt::Task<gwt::wire::QuotaReply>(gwt::wire::QuotaRequest, gwt::PeerRequest)>
        checkQuota = [&quotaService](gwt::wire::QuotaRequest request,
                                     gwt::PeerRequest) -> gwt::Task<gwt::wire::QuotaReply> {
        co_return quotaService.handle(request);
    };
    sharing.route(gwt::QuotaService::s_path, gwt::peerHandler(std::move(checkQuota)));
    const auto shared = sharing.start();
    if (!gwt::isOk(shared)) {
        gwt::logError("start_failed", {{"detail", gwt::errorOf(shared).detail}});
        return exitFailure;
    }
    quotaService.start();
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
    gwt::returnLargeBuffers();
    gwt::initializeLog("gwt-gateway", "info");
    const std::string path = gwt::platform::platformSettingsPath();
    const auto settings = gwt::platform::readPlatformSettings(path);
    if (!gwt::isOk(settings)) {
        gwt::logError("start_failed", {{"detail", gwt::errorOf(settings).detail}});
        return exitUsage;
    }
    return run(path, gwt::valueOf(settings));
}
