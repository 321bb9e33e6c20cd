#pragma once

#include "common/Metrics.h"
#include "gateway/sharing/FleetState.h"
#include "gateway/sharing/MemberReaper.h"
#include "gateway/sharing/RegistryFeed.h"
#include "gateway/sharing/SourceTree.h"
#include "peer/Peer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <list>

namespace gwt {

/// \brief Addresses of this process among the others.
struct SharingOptions
{
    FleetMember self;
    std::vector<Endpoint> seeds; ///< asked while no members are known
    /// Between two registrations of this process; the news of one takes less.
    Duration joinPause = std::chrono::seconds(5);
};

/// \brief Keeps a FleetState up to date: by the registry for a few processes, by these for the
/// others; and serves it to the processes that ask.
class StateSharing
{
public:
    StateSharing(boost::asio::io_context &context, SharingOptions options, FleetState &state,
                 RegistryFeed &feed, Metrics &metrics);

    /// \brief Errors: Unavailable "listen_failed".
    Outcome<Endpoint> start();
    /// \brief For how long the registry has not been heard, by this process or by its source.
    Duration registryAge(TimePoint now) const;
    /// \brief True while this process follows the registry itself.
    bool isWatching() const { return m_isWatching; }

private:
    Task<void> run();
    Task<void> reap();
    Task<bool> askOne(FleetMember source);
    void onNews();
    Task<wire::FleetStateReply> serve(wire::FleetStateRequest request, PeerRequest raw);
    Task<void> waitForNews(Duration limit);
    std::vector<FleetMember> sources(TimePoint now) const;
    Duration updateRegistryAge(TimePoint now);
    void setWatching(bool isWatching);
    void countBytes(const wire::FleetStateReply &reply);

    const SharingOptions m_options;
    const Executor m_executor;
    FleetState &m_state;
    RegistryFeed &m_feed;
    Metrics &m_metrics;
    prometheus::Counter &m_pollsFailed;
    SourceTree m_tree;
    MemberReaper m_reaper;
    PeerClient m_client;
    PeerServer m_server;
    std::list<asio::steady_timer> m_waiters; ///< requests that wait for news
    bool m_isWatching = false;
    bool m_hasJoined = false;
    std::size_t m_turn = 0;
    std::uint64_t m_memberRevision = 0; ///< of the members that tree and reaper hold
    TimePoint m_joinedAt; ///< when this process last asked to be registered
    /// When the registry was last heard, by this process or by the one that told it. Ages travel
    /// with the replies, so that processes that only ask each other notice that all are outdated.
    TimePoint m_heardAt;
    Duration m_usualAge; ///< of what the registry said, up to which this process is current
};

} // namespace gwt
