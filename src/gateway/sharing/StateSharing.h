#pragma once

#include "common/Metrics.h"
#include "gateway/sharing/DisseminationTree.h"
#include "gateway/sharing/FleetState.h"
#include "gateway/sharing/FreshnessLimits.h"
#include "gateway/sharing/MemberReaper.h"
#include "gateway/sharing/RegistryFeed.h"
#include "peer/Peer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <list>

namespace gwt {

/// \brief Configures how a process takes part in state sharing.
struct SharingOptions
{
    FleetMember self;
    std::vector<Endpoint> seeds; ///< polled while no members are known
    FreshnessLimits limits{std::chrono::seconds(3)};
    /// Minimum between two registrations of this process; a registration is visible sooner.
    Duration minJoinInterval = std::chrono::seconds(5);
};

/// \brief Keeps a FleetState up to date and serves it to other processes.
///
/// A few processes follow the registry; the others poll these or each other.
class StateSharing
{
public:
    StateSharing(boost::asio::io_context &context, SharingOptions options, FleetState &state,
                 RegistryFeed &feed, Metrics &metrics);

    /// \brief Registers a handler for calls of other processes; before start() only.
    void route(const std::string &path, PeerHandler handler)
    {
        m_server.route(path, std::move(handler));
    }
    /// \brief Errors: Unavailable "listen_failed".
    Outcome<Endpoint> start();
    /// \brief Time since this state was last proved to hold all updates of the registry; the time
    /// since the epoch of the clock if it never was.
    Duration registryAge(TimePoint now) const { return now - provenAt(); }
    /// \brief True while this process follows the registry itself.
    bool isWatching() const { return m_isWatching; }

private:
    enum class PollResult {
        Current, ///< the source is current
        Outdated, ///< the source did not answer or is not current itself
        Incomplete ///< a delta was rejected; the full state is requested next
    };

    Task<void> run();
    Task<void> reapMembers();
    Task<PollResult> pollSource(FleetMember source);
    void onUpdate();
    void checkMembership(TimePoint now);
    Task<wire::FleetStateReply> serve(wire::FleetStateRequest request, PeerRequest raw);
    Task<void> waitForUpdate(Duration limit);
    std::vector<FleetMember> sources(TimePoint now) const;
    void setWatching(bool isWatching, const char *reason);
    void logNewConfig(TimePoint now);
    void logFreshness(TimePoint now);
    TimePoint provenAt() const;
    TimePoint takeoverAt() const;
    Duration pollTimeout(TimePoint now) const;
    void countSentBytes(const wire::FleetStateReply &reply);

    const SharingOptions m_options;
    const Executor m_executor;
    FleetState &m_state;
    RegistryFeed &m_feed;
    Metrics &m_metrics;
    prometheus::Counter &m_pollsFailed;
    prometheus::Gauge &m_registryAge;
    DisseminationTree m_tree;
    MemberReaper m_reaper;
    PeerClient m_client;
    PeerServer m_server;
    std::list<asio::steady_timer> m_pendingPolls; ///< long polls that wait for an update
    bool m_isWatching = false;
    bool m_hasJoined = false;
    std::size_t m_nextSource = 0;
    std::uint64_t m_memberRevision = 0; ///< of the members in the tree and the reaper
    std::optional<std::uint64_t> m_memberEra; ///< of the registry, in the last list of members
    bool m_isRejoinDue = false; ///< the registry may have lost the registration of this process
    TimePoint m_joinedAt; ///< time of the last registration request
    Duration m_staleAfter; ///< registry age above which this process is stale
    TimePoint m_takeoverFrom; ///< before it, this process relies on its sources even without proof
    /// Time as of which a source proved this state to be complete. Replies carry the age of the
    /// proof, so that processes that only poll each other detect that all of them are stale.
    TimePoint m_sourceProvenAt;
    bool m_isSearching = false; ///< no source has answered since the last poll that failed
    std::string m_updateSource; ///< name of the source whose reply is being applied; else empty
    std::uint64_t m_loggedVersion = 0; ///< newest configuration in the log
    bool m_isOutdated = false; ///< whether the log reports the state as outdated
};

} // namespace gwt
