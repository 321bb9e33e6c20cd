#pragma once

#include "common/Metrics.h"
#include "common/Task.h"
#include "gateway/quota/LeaseKeeper.h"
#include "gateway/quota/QuotaLedger.h"
#include "gateway/quota/QuotaRanges.h"
#include "gateway/sharing/DisseminationTree.h"
#include "gateway/sharing/FleetState.h"
#include "peer/Peer.h"

#include <gateway.pb.h>

#include <array>
#include <memory>
#include <set>

namespace gwt {

/// \brief What a process needs in order to take part in the quotas of the fleet.
struct QuotaOptions
{
    FleetMember self;
    std::string incarnation; ///< differs in each process of a host
    QuotaRules rules;
    LeaseRules leases;
};

/// \brief Coordinates the quotas of the ranges of teams whose lease this process holds.
///
/// Takes leases while it is one of the processes that follow the store. Active only while the
/// configuration has a team with a quota.
class QuotaService : public StateObserver
{
public:
    static constexpr const char *s_path = "/gateway/quota"; ///< of the calls of other processes

    QuotaService(boost::asio::io_context &context, QuotaOptions options, LeaseStore &store,
                 PeerClient &peers, Metrics &metrics);

    void onConfig(const RoutingConfig &config) override;
    void onMembers(const std::vector<FleetMember> &members) override;
    void onBackends(const std::vector<BackendEntry> &) override { }
    void onBackendChanges(const std::vector<BackendChange> &) override { }
    void onRegistryRecovery() override { }

    void start();
    /// \brief Releases the leases: this process is about to end.
    void stop();
    /// \brief Handles a request of another process, or of this one. Without a team it only asks
    /// whether this process runs and can prove the leases that it holds.
    wire::QuotaReply handle(const wire::QuotaRequest &request);
    /// \brief Names of the hosts to ask, the most likely holder of \a range first.
    std::vector<std::string> candidates(std::size_t range, TimePoint now) const;
    /// \brief Checks whether \a host, which did not reply to a request in time, is still there.
    void checkHost(const std::string &host);
    bool isActive() const { return m_isActive; }

private:
    struct Range
    {
        std::unique_ptr<LeaseKeeper> keeper;
        /// Set while this process holds the lease, or may take it back.
        std::optional<QuotaLedger> ledger;
        std::string knownHolder; ///< for the log
    };

    void runWhileActive();
    Task<void> run();
    Task<void> probe(std::string host);
    void tick(TimePoint now);
    void onNewEra();
    void onLeases(const LeaseTable &leases, std::uint64_t revision);
    void write(std::size_t range, const Lease &lease);
    void release(std::size_t range);
    void logHolder(std::size_t range);
    /// \brief True if this process holds a lease.
    bool isHolder() const;
    /// \brief True if this process holds a lease that it will soon be unable to prove.
    bool isLosingProof(TimePoint now) const;
    /// \brief True if \a host holds the lease of \a range by another process than \a incarnation.
    bool hasReplacedHolder(std::size_t range, const std::string &host,
                           const std::string &incarnation) const;

    const Executor m_executor;
    const QuotaOptions m_options;
    LeaseStore &m_store;
    PeerClient &m_peers;
    Metrics &m_metrics;
    DisseminationTree m_tree; ///< orders the candidates
    std::map<std::string, Endpoint> m_addresses; ///< of the members, by name
    std::array<Range, quotaRangeCount> m_ranges;
    LeaseTable m_leases;
    bool m_isActive = false; ///< the configuration has a team with a quota
    bool m_isWatching = false;
    bool m_isStarted = false;
    bool m_isRunning = false; ///< run() is in progress
    bool m_isStopping = false;
    std::set<std::string> m_probedHosts; ///< with a probe in progress
    TimePoint m_probedAt;
    TimePoint m_nextSessionCheck;
};

} // namespace gwt
