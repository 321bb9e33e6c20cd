#pragma once

#include "PipeliningSoakCaller.h"
#include "PlannedStops.h"
#include "SoakBackend.h"
#include "SoakCaller.h"
#include "SoakGateway.h"

#include "standins/platform/FakePlatform.h"

#include <csignal>
#include <functional>
#include <memory>
#include <vector>

namespace gwt::test {

/// \brief Size and duration of a soak.
struct SoakOptions
{
    std::uint64_t seed = 1;
    std::chrono::seconds duration{6}; ///< duration of the faults, without the recovery
    int gateways = 3;
    int shards = 4;
    int callers = 6; ///< spread over the gateways
    int pipeliningCallers = 0; ///< so many of the callers pipeline their requests
    std::vector<std::string> faults; ///< names of the faults to inject; empty: all
};

/// \brief Runs real gateways as processes, injects faults into them and their peers, and checks the
/// guarantees from the observations of callers and backend servers.
///
/// Faults start at random times, in sequence and overlapping, and each has a limited duration. The
/// seed determines them all, but not the state in which they find the processes.
class Soak
{
public:
    explicit Soak(SoakOptions options);
    ~Soak();

    /// \brief Runs the whole soak and returns a description of each violated guarantee.
    std::vector<std::string> run();
    const SoakFindings &findings() const { return m_findings; }
    const NoticeCheck &notices() const { return m_notices; }
    /// \brief Directory of the process logs.
    const std::string &folder() const { return m_folder; }

private:
    struct Fault
    {
        const char *name;
        void (Soak::*inject)();
    };
    static const std::vector<Fault> s_faults;
    static std::vector<Fault> selectFaults(const std::vector<std::string> &names);

    void registerBackend(SoakBackend &backend, const std::string &state);
    void publish();
    bool areAllReady();
    void scheduleFault();
    void restartEndedGateways();
    std::vector<Endpoint> seeds() const;
    void atFaultEnd(std::function<void()> action);
    template <typename T>
    T &randomElement(std::vector<std::unique_ptr<T>> &elements);
    void injectStoreFault(bool PlatformFaults::*fault);
    void injectBackendFault(SoakBackend::Mode mode);
    void injectProxyFault(LoopbackProxy &proxy);
    void disturb(SoakGateway &gateway, Duration duration);
    void checkExecutions();
    void checkUnanswered();
    void checkRecovery();

    void storeUnavailable() { injectStoreFault(&PlatformFaults::isDown); }
    void storeResets() { injectStoreFault(&PlatformFaults::resets); }
    void storeSilent() { injectStoreFault(&PlatformFaults::isSilent); }
    void storeCut();
    void storeMute();
    void storeRestored();
    void backendSlow() { injectBackendFault(SoakBackend::Mode::Slow); }
    void backendFull() { injectBackendFault(SoakBackend::Mode::Full); }
    void backendFails() { injectBackendFault(SoakBackend::Mode::Fails); }
    void backendRefusesAfterwards() { injectBackendFault(SoakBackend::Mode::RefusesAfterwards); }
    void backendLosesReplies() { injectBackendFault(SoakBackend::Mode::LosesReplies); }
    void backendRepeatsReplies() { injectBackendFault(SoakBackend::Mode::RepeatsReplies); }
    void backendSendsSurplus() { injectBackendFault(SoakBackend::Mode::SendsSurplus); }
    void backendNeverEnds() { injectBackendFault(SoakBackend::Mode::NeverEndsReplies); }
    void backendSheds() { injectBackendFault(SoakBackend::Mode::Sheds); }
    void backendAnnouncesEnd();
    void backendCut() { injectProxyFault(randomElement(m_backends).proxy()); }
    void backendLeaves();
    void gatewayKilled() { randomElement(m_gateways).signal(SIGKILL); }
    void gatewayStopped() { randomElement(m_gateways).stop(); }
    void gatewayStoppedTwice() { m_plannedStops.stopOneTwice(); }
    void allGatewaysStopped() { m_plannedStops.stopAllInSeries(); }
    void gatewayPaused();
    void gatewayReloads() { randomElement(m_gateways).reload(); }
    void configChanges() { publish(); }

    const SoakOptions m_options;
    const std::vector<Fault> m_faults;
    boost::asio::io_context m_context;
    TimerQueue m_timers{m_context};
    RandomEngine m_random;
    std::string m_folder;
    ExecutionCounts m_executions;
    SoakFindings m_findings;
    NoticeCheck m_notices{m_gateways, m_findings.violations};
    FakePlatform m_platform{m_context.get_executor()};
    Endpoint m_store;
    std::vector<std::string> m_shards;
    std::vector<std::unique_ptr<SoakBackend>> m_backends; ///< those that faults meet
    std::vector<std::unique_ptr<SoakBackend>> m_longBackends; ///< those whose requests take long
    std::vector<std::unique_ptr<SoakBackend>> m_versionBackends; ///< one a configuration
    std::vector<std::unique_ptr<LoopbackProxy>> m_storeProxies; ///< one a gateway
    std::vector<std::unique_ptr<SoakGateway>> m_gateways;
    PlannedStops m_plannedStops{m_timers, m_random, m_gateways};
    std::vector<std::unique_ptr<SoakCaller>> m_callers;
    std::vector<std::unique_ptr<PipeliningSoakCaller>> m_pipeliningCallers;
    int m_version = 0;
    bool m_isInjectingFaults = true;
    bool m_isStoreMute = false;
};

template <typename T>
T &Soak::randomElement(std::vector<std::unique_ptr<T>> &elements)
{
    return *elements[m_random() % elements.size()];
}

} // namespace gwt::test
