#pragma once

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
    std::chrono::seconds length{6}; ///< duration of the faults, without the recovery
    int gateways = 3;
    int shards = 4;
    int callers = 6; ///< spread over the gateways
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
    /// \brief Directory of the process logs.
    const std::string &folder() const { return m_folder; }

private:
    struct Fault
    {
        const char *name;
        void (Soak::*strike)();
    };
    static const std::vector<Fault> s_faults;
    static std::vector<Fault> chosenFaults(const std::vector<std::string> &names);

    void registerBackend(SoakBackend &backend, const std::string &state);
    void publish();
    bool allReady();
    void scheduleFault();
    void keepRunning();
    std::vector<Endpoint> seeds() const;
    void later(std::function<void()> action);
    template <typename T>
    T &anyOf(std::vector<std::unique_ptr<T>> &things);
    void disturbStore(bool PlatformFaults::*fault);
    void disturbBackend(SoakBackend::Mode mode);
    void disturbProxy(LoopbackProxy &proxy);
    void checkRuns();
    void checkRecovery();

    void storeUnavailable() { disturbStore(&PlatformFaults::isDown); }
    void storeResets() { disturbStore(&PlatformFaults::resets); }
    void storeSilent() { disturbStore(&PlatformFaults::isSilent); }
    void storeCut() { disturbProxy(anyOf(m_storeProxies)); }
    void backendSlow() { disturbBackend(SoakBackend::Mode::Slow); }
    void backendFull() { disturbBackend(SoakBackend::Mode::Full); }
    void backendFails() { disturbBackend(SoakBackend::Mode::Fails); }
    void backendLosesReplies() { disturbBackend(SoakBackend::Mode::LosesReplies); }
    void backendRepeatsReplies() { disturbBackend(SoakBackend::Mode::RepeatsReplies); }
    void backendCut() { disturbProxy(anyOf(m_backends).proxy()); }
    void backendLeaves();
    void gatewayKilled() { anyOf(m_gateways).signal(SIGKILL); }
    void gatewayStopped() { anyOf(m_gateways).stop(); }
    void gatewayPaused();
    void gatewayReloads() { anyOf(m_gateways).reload(); }
    void configChanges() { publish(); }

    const SoakOptions m_options;
    const std::vector<Fault> m_faults;
    boost::asio::io_context m_context;
    TimerQueue m_timers{m_context};
    RandomEngine m_random;
    std::string m_folder;
    RunCounts m_runs;
    SoakFindings m_findings;
    FakePlatform m_platform{m_context.get_executor()};
    Endpoint m_store;
    std::vector<std::string> m_shards;
    std::vector<std::unique_ptr<SoakBackend>> m_backends; ///< those that faults meet
    std::vector<std::unique_ptr<SoakBackend>> m_versionBackends; ///< one a configuration
    std::vector<std::unique_ptr<LoopbackProxy>> m_storeProxies; ///< one a gateway
    std::vector<std::unique_ptr<SoakGateway>> m_gateways;
    std::vector<std::unique_ptr<SoakCaller>> m_callers;
    int m_version = 0;
    bool m_isFaulty = true;
};

} // namespace gwt::test
