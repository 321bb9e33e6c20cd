#include "daemon/Daemon.h"

#include "common/Allocator.h"
#include "common/Log.h"
#include "daemon/AdminServer.h"
#include "daemon/CommandLine.h"
#include "daemon/DaemonStatus.h"
#include "daemon/RefusalCheck.h"
#include "peer/PeerCodec.h"

#include <boost/asio/signal_set.hpp>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <map>
#include <thread>

namespace gwt {

namespace {

constexpr Milliseconds pollInterval{20};
/// A daemon that finds no others to call becomes ready after this time.
constexpr Milliseconds maxJoinTime{3000};
constexpr Milliseconds stopGrace{300}; ///< for requests already in transit when the listener closes
constexpr Milliseconds endGrace{1000}; ///< for callers to receive the responses of cut requests
constexpr Milliseconds closeGrace{1000}; ///< for other daemons to receive the last replies
constexpr Milliseconds adminGrace{300}; ///< for the responses of /readyz and closing idle callers
constexpr Milliseconds departureTime{50}; ///< for sending the last datagrams

/// \brief Counts SIGTERM and SIGINT signals.
class StopSignals
{
public:
    explicit StopSignals(Executor executor)
        : m_signals(executor, SIGTERM, SIGINT)
    {
        arm();
    }

    int count() const { return m_count; }

private:
    void arm()
    {
        m_signals.async_wait([this](const boost::system::error_code &failure, int) {
            if (failure)
                return;
            ++m_count;
            arm();
        });
    }

    asio::signal_set m_signals;
    std::atomic<int> m_count = 0;
};

/// \brief Polls until \a isDone holds, a second signal arrives or \a bound passes; true if done.
template <typename Predicate>
bool waitFor(Predicate isDone, const StopSignals &signals, Milliseconds bound)
{
    const TimePoint deadline = Clock::now() + bound;
    while (!isDone()) {
        if (signals.count() > 1 || Clock::now() >= deadline)
            return false;
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

int requestsInProgress(const DaemonServices &services, const DaemonRole &role)
{
    return services.peerServer.requestsInProgress() + role.requestsInProgress();
}

int shutDown(DaemonServices &services, DaemonRole &role, AdminServer &admin,
             const StopSignals &signals)
{
    services.readiness.markDraining();
    services.membership.announceLeaving();
    role.startDraining();
    logInfo("draining", {{"in_progress", requestsInProgress(services, role)}});
    std::atomic<bool> isHandedOver = false;
    spawn(services.pool.strand(), [](DaemonRole &leaving, std::atomic<bool> &done) -> Task<void> {
        co_await leaving.handOver();
        done = true;
    }(role, isHandedOver));
    waitFor([] { return false; }, signals, services.options.drainInterval);
    role.stopAccepting();
    services.peerServer.shutDown();
    waitFor([] { return false; }, signals, stopGrace);
    const bool isComplete
        = waitFor([&] { return isHandedOver && requestsInProgress(services, role) == 0; }, signals,
                  services.options.drainBound);
    const int interrupted = requestsInProgress(services, role);
    if (interrupted > 0 && signals.count() < 2) {
        role.endRequests();
        waitFor([&] { return role.requestsInProgress() == 0; }, signals, endGrace);
    }
    waitFor([&] { return services.peerServer.sessions() == 0; }, signals, closeGrace);
    // Last, because /readyz reports the draining until the end.
    admin.stopAccepting();
    waitFor([&] { return admin.connections() == 0; }, signals, adminGrace);
    services.membership.depart();
    std::this_thread::sleep_for(departureTime);
    logInfo("stopped", {{"complete", isComplete}, {"requests_cut", interrupted}});
    return isComplete ? exitOk : exitFailure;
}

/// \brief Returns whether each role that a daemon of \a role calls has a ready member.
bool hasReadyCallees(const MemberList &members, Role role)
{
    static const std::map<Role, std::vector<Role>> callees
        = {{Role::Entry, {Role::Relay, Role::Booking}},
           {Role::Booking, {Role::Relay}},
           {Role::Relay, {}}};
    const std::vector<Role> &called = callees.at(role);
    return std::all_of(called.begin(), called.end(), [&](Role callee) {
        return std::any_of(members.begin(), members.end(), [callee](const Member &member) {
            return member.role == callee && member.isReady;
        });
    });
}

/// \brief Announces the active generation to the fleet and becomes ready once all conditions hold.
void updateReadiness(DaemonServices &services, const DaemonRole &role, TimePoint joinDeadline)
{
    const std::uint64_t generation = services.config.current()->generation();
    services.membership.announceGeneration(generation);
    const bool isJoined = services.membership.isSynced()
        && hasReadyCallees(*services.membership.members(), services.options.role);
    const bool hasJoined = isJoined || Clock::now() >= joinDeadline;
    const bool isPriming = services.readiness.state() == ReadyState::Priming;
    if (!isPriming || generation == 0 || !hasJoined || !role.isReady())
        return;
    services.readiness.markReady();
    services.membership.announceReady(true);
    logInfo("ready", {{"generation", generation}});
}

int run(DaemonServices &services, DaemonRole &role)
{
    StopSignals signals(services.pool.executor());
    const DaemonStatus status(services.options, services.readiness, services.config,
                              services.membership, role);
    AdminServer admin(
        services.pool.executor(), services.options.hostLimits, services.serverMemory,
        services.readiness, services.metrics, [&] { return status.json(); },
        [&](const std::string &path) { return role.inspect(path); });
    const Outcome<Endpoint> adminBound = admin.listen(services.options.admin);
    const RefusalCheck refusals(services.membership, services.options.host);
    services.peerServer.route(RefusalCheck::s_path,
                              peerHandler<wire::RefusalCheckRequest, wire::RefusalCheckReply>(
                                  [&refusals](wire::RefusalCheckRequest request, PeerRequest) {
                                      return refusals.answer(std::move(request));
                                  }));
    const Outcome<Done> started = role.start();
    const Outcome<Endpoint> peerBound = services.peerServer.listen(services.options.peer);
    const Outcome<Endpoint> gossipBound = services.membership.start();
    for (const Error *failure :
         {std::get_if<Error>(&adminBound), std::get_if<Error>(&started),
          std::get_if<Error>(&peerBound), std::get_if<Error>(&gossipBound)}) {
        if (failure) {
            logError("start_failed", {{"reason", failure->reason}, {"detail", failure->detail}});
            return exitFailure;
        }
    }
    services.follower.start([] {});
    logInfo("started",
            {{"name", services.options.name},
             {"peer", toString(services.options.peer)},
             {"admin", toString(services.options.admin)}});
    const TimePoint joinDeadline = Clock::now() + maxJoinTime;
    while (signals.count() == 0) {
        updateReadiness(services, role, joinDeadline);
        std::this_thread::sleep_for(pollInterval);
    }
    return shutDown(services, role, admin, signals);
}

} // namespace

int runDaemon(const DaemonProgram &program, int argc, char **argv)
{
    returnLargeBuffers();
    auto invocation = parseCommandLine(program.name, program.summary, argc, argv);
    if (const int *status = std::get_if<int>(&invocation))
        return *status;
    auto &[settings, isCheckOnly] = std::get<ProgramInvocation>(invocation);
    DaemonOptions options = DaemonOptions::read(settings, program.role);
    const RoleFactory createRole = program.readSettings(settings);
    if (!reportFaults(settings))
        return exitUsage;
    if (isCheckOnly)
        return exitOk;
    initializeLog(program.name, options.logLevel);
    DaemonServices services(std::move(options), program.connectPlatform);
    const std::unique_ptr<DaemonRole> role = createRole(services);
    const int status = run(services, *role);
    services.pool.stop();
    // Skip destructors: interrupted tasks still refer to the role and the services.
    std::_Exit(status);
}

} // namespace gwt
