#pragma once

#include "common/Metrics.h"
#include "common/Outcome.h"
#include "common/Task.h"
#include "membership/GossipCore.h"
#include "membership/Member.h"
#include "platform/HostList.h"

#include <boost/asio/ip/udp.hpp>

#include <array>
#include <mutex>
#include <set>

namespace gwt {

/// \brief Addresses through which a member joins the fleet.
struct GossipSeeds
{
    std::vector<Endpoint> endpoints; ///< from the settings
    std::string hostPrefix; ///< marks our own hosts in the platform's host list
    std::vector<std::uint16_t> ports; ///< gossip ports on each of our own hosts
};

/// \brief Runs a GossipCore over UDP, with its socket, timers and metrics.
///
/// The executor must have stopped before this object is destroyed. Thread-safe.
class GossipMembership : public MembershipView
{
public:
    /// \brief Listens on the gossip address of \a self, whose incarnation is set from the wall
    /// clock. Members on hosts that \a hostList reports as leaving are published as leaving.
    GossipMembership(Executor executor, HostList &hostList, Metrics &metrics, Member self,
                     GossipSeeds seeds, GossipOptions options);

    /// \brief Opens the socket and joins the fleet. Errors: Unavailable "listen_failed".
    Outcome<Endpoint> start();
    std::shared_ptr<const MemberList> members() const override;
    /// \brief True once the table has matched another member's in most buckets.
    bool isSynced() const { return m_isSynced; }

    void announceReady(bool isReady);
    void announceGeneration(std::uint64_t generation);
    /// \brief Announces that this member is leaving and no longer owns any key.
    void announceLeaving();
    /// \brief Announces the end of this process, so that others declare it dead without probing.
    void depart();

private:
    Task<void> receiveLoop();
    Task<void> tickLoop();
    Task<void> hostListLoop();
    void applyHosts(const std::vector<Host> &hosts);
    void handleDatagram(std::size_t size);
    void send(const GossipOutputs &outputs);
    void applyToCore(std::function<void(GossipCore &)> action);
    void publish();
    void publishStates(const MemberList &members);
    void publishCounts();

    Executor m_strand;
    HostList &m_hostList;
    Metrics &m_metrics;
    GossipSeeds m_seeds;
    GossipCore m_core;
    RandomEngine m_random;
    asio::ip::udp::socket m_socket;
    asio::ip::udp::endpoint m_source;
    std::array<char, 65536> m_buffer{};
    std::set<std::string> m_leavingHosts;
    GossipCounts m_publishedCounts;
    std::uint64_t m_publishedVersion = 0;
    std::atomic<bool> m_isSynced = false;
    prometheus::Counter &m_sentDatagrams;
    prometheus::Counter &m_sentBytes;
    prometheus::Counter &m_unsentDatagrams;
    prometheus::Counter &m_receivedDatagrams;
    prometheus::Counter &m_receivedBytes;
    mutable std::mutex m_mutex; ///< guards m_members
    std::shared_ptr<const MemberList> m_members;
};

} // namespace gwt
