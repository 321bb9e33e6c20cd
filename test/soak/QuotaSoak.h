#pragma once

#include "GatewayLinks.h"
#include "QuotaCheck.h"
#include "SoakBackend.h"
#include "SoakGateway.h"

#include "http/ClientConnection.h"
#include "standins/platform/FakePlatform.h"

#include <memory>
#include <vector>

namespace gwt::test {

/// \brief Size and duration of a soak of quotas.
struct QuotaSoakOptions
{
    std::uint64_t seed = 1;
    std::chrono::seconds duration{10}; ///< duration of the faults, without the recovery
    int gateways = 4;
    std::vector<std::string> faults; ///< names of the faults to inject; empty: all
};

/// \brief Runs real gateways beside a team that sends far more than its quota, cuts them off from
/// each other and from the store in all ways, kills and restarts them, and checks from the
/// executions of backend servers that the quota holds at all times and is used in the end.
class QuotaSoak
{
public:
    explicit QuotaSoak(QuotaSoakOptions options);
    ~QuotaSoak();

    /// \brief Runs the whole soak and returns a description of each violated guarantee.
    std::vector<std::string> run();
    const QuotaCheck &quota() const { return m_quota; }
    /// \brief Directory of the process logs.
    const std::string &folder() const { return m_folder; }

private:
    struct Fault
    {
        const char *name;
        void (QuotaSoak::*inject)();
    };
    static const std::vector<Fault> s_faults;

    void publish();
    void sendPeriodically(int gateway);
    void send(int gateway);
    void scheduleFault();
    void restartEndedGateways();
    /// \brief Returns the gateway that holds a lease, or any.
    int chooseGateway();
    void cut(const std::vector<int> &numbers, GatewayLinks::Scope scope, GatewayLinks::Mode mode);
    /// \brief Returns a time, mostly short, at times longer than a holder may go without proof.
    Milliseconds randomDuration();

    void cutOff() { cut({chooseGateway()}, {}, GatewayLinks::Mode::Refuses); }
    void cutOffWithResets() { cut({chooseGateway()}, {}, GatewayLinks::Mode::Resets); }
    void cutOffSilently() { cut({chooseGateway()}, {}, GatewayLinks::Mode::SilencesAll); }
    void cutOffPeers() { cut({chooseGateway()}, {false, true, true}, GatewayLinks::Mode::Refuses); }
    void cutOffStore()
    {
        cut({chooseGateway()}, {true, false, false}, GatewayLinks::Mode::Refuses);
    }
    void cutInbound() { cut({chooseGateway()}, {true, true, false}, GatewayLinks::Mode::Refuses); }
    void cutOutbound() { cut({chooseGateway()}, {true, false, true}, GatewayLinks::Mode::Refuses); }
    void cutOffTwo();
    void storeDown();
    void killed() { m_gateways[static_cast<std::size_t>(chooseGateway())]->signal(SIGKILL); }
    void stopped() { m_gateways[static_cast<std::size_t>(chooseGateway())]->stop(); }
    void paused();
    void configChanges() { publish(); }

    const QuotaSoakOptions m_options;
    std::vector<Fault> m_faults;
    boost::asio::io_context m_context;
    TimerQueue m_timers{m_context};
    RandomEngine m_random;
    std::string m_folder;
    ExecutionCounts m_executions;
    std::vector<std::string> m_violations;
    std::vector<std::unique_ptr<SoakGateway>> m_gateways;
    NoticeCheck m_notices{m_gateways, m_violations};
    QuotaCheck m_quota;
    FakePlatform m_platform{m_context.get_executor()};
    Endpoint m_store;
    std::unique_ptr<GatewayLinks> m_links;
    std::vector<std::unique_ptr<SoakBackend>> m_backends;
    int m_version = 0;
    int m_requests = 0;
    bool m_isInjectingFaults = true;
    bool m_isSending = true;
    bool m_isStoreDown = false;
};

} // namespace gwt::test
