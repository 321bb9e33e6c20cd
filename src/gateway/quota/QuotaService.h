#pragma once

#include "common/Metrics.h"
#include "common/Task.h"
#include "gateway/quota/LeaseElectorate.h"
#include "gateway/quota/LeaseKeeper.h"
#include "gateway/quota/LeaseLog.h"
#include "gateway/quota/LeaseVoter.h"
#include "gateway/quota/QuotaLedger.h"
#include "gateway/quota/QuotaRanges.h"
#include "gateway/sharing/DisseminationTree.h"
#include "gateway/sharing/FleetState.h"
#include "peer/Peer.h"

#include <gateway.pb.h>

#include <array>
#include <functional>
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

    /// \brief Sets the source of the time since the list of members was last proved current.
    void setStateAge(std::function<Duration()> age) { m_stateAge = std::move(age); }
    void start();
    /// \brief Releases the leases: this process is about to end.
    void stop();
    /// \brief Handles a request of another process, or of this one. Without a team it only asks
    /// whether this process runs and can prove the leases that it holds.
    wire::QuotaReply handle(const wire::QuotaRequest &request);
    /// \brief Names of the hosts to ask, the most likely holder of \a range first.
    std::vector<std::string> candidates(std::size_t range, TimePoint now) const;
    /// \brief Checks whether \a host, unless it is this one, can be reached, and asks for its vote.
    void checkHost(const std::string &host);
    bool isActive() const { return m_isActive; }
    /// \brief False if the other hosts may have removed this one from the members, which it cannot
    /// know while it is cut off, and divide its standing rights among themselves.
    bool mayUseRights(TimePoint now) const;

private:
    struct Range
    {
        std::unique_ptr<LeaseKeeper> keeper;
        /// Set while this process holds the lease, or may take it back.
        std::optional<QuotaLedger> ledger;
        TimePoint votersChangedAt; ///< when this process last named voters
    };

    void runWhileActive();
    Task<void> run();
    Task<void> probe(std::string host);
    wire::QuotaRequest buildProbe(const std::string &host, TimePoint now) const;
    /// \brief Applies the reply of \a host to a probe that was sent at \a sentAt; null: none.
    void onProbeReply(const std::string &host, const wire::QuotaReply *reply, TimePoint sentAt);
    void tick(TimePoint now);
    /// \brief Probes the hosts that are due: candidates, holders, and voters.
    void probeHosts(const std::vector<std::string> &candidates, TimePoint now);
    /// \brief As LeaseVoter::withdraw(); if it fails, finds out whether \a host can be reached.
    bool tryWithdraw(const std::string &host, const std::string &incarnation, TimePoint now);
    /// \brief Asks hosts for votes if they are due; returns whether they were.
    bool askForVotes(TimePoint now);
    /// \brief Withdraws the vote of this process from the holder of \a range, if it is challenged.
    void withdrawOwnVote(std::size_t range, TimePoint now);
    void updateVoters(std::size_t range, TimePoint now);
    void onNewEra();
    void onLeases(const LeaseTable &leases, std::uint64_t revision);
    void takeOver(std::size_t range, const Lease &lease);
    void renew(std::size_t range, const Lease &lease);
    void release(std::size_t range);
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
    LeaseLog m_log;
    DisseminationTree m_tree; ///< orders the candidates
    std::map<std::string, Endpoint> m_addresses; ///< of the members, by name
    LeaseVotes m_votes; ///< for this process
    LeaseElectorate m_electorate;
    LeaseVoter m_voter; ///< votes of this process
    std::array<Range, quotaRangeCount> m_ranges;
    LeaseTable m_leases;
    bool m_isActive = false; ///< the configuration has a team with a quota
    bool m_isWatching = false;
    bool m_isStarted = false;
    bool m_isRunning = false; ///< run() is in progress
    bool m_isStopping = false;
    std::set<std::string> m_probedHosts; ///< with a probe in progress
    std::function<Duration()> m_stateAge = [] { return Duration::zero(); };
    TimePoint m_probedAt;
    TimePoint m_votesAskedAt;
    TimePoint m_nextSessionCheck;
};

} // namespace gwt
