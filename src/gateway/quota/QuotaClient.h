#pragma once

#include "gateway/quota/QuotaGate.h"
#include "gateway/quota/QuotaService.h"
#include "gateway/quota/StandingRights.h"

#include <array>

namespace gwt {

/// \brief Checks quotas by the standing rights of this host, and then with the coordinator of the
/// team.
class QuotaClient : public QuotaGate, public StateObserver
{
public:
    QuotaClient(boost::asio::io_context &context, const QuotaOptions &options,
                QuotaService &service, PeerClient &peers, Metrics &metrics);

    void acquire(const Team &team, TimePoint deadline, Handler handler) override;

    void onConfig(const RoutingConfig &config) override { m_configVersion = config.version; }
    void onMembers(const std::vector<FleetMember> &members) override;
    void onBackends(const std::vector<BackendEntry> &) override { }
    void onBackendChanges(const std::vector<BackendChange> &) override { }
    void onRegistryRecovery() override { }

private:
    struct Coordinator
    {
        std::string host; ///< that last replied as the holder; empty: unknown
        TimePoint silentUntil; ///< no calls before it
        std::size_t failures = 0; ///< calls without a reply; selects the candidate to ask first
    };

    Task<void> ask(Team team, TimePoint deadline, Handler handler);
    /// \brief The decision without a right and without a reply of a coordinator.
    QuotaDecision unknown(const char *reason);
    void count(const char *outcome);

    const Executor m_executor;
    const std::string m_self;
    QuotaService &m_service;
    PeerClient &m_peers;
    Metrics &m_metrics;
    StandingRights m_rights;
    std::map<std::string, Endpoint> m_addresses; ///< of the members, by name
    std::array<Coordinator, quotaRangeCount> m_coordinators;
    std::uint64_t m_configVersion = 0;
};

} // namespace gwt
