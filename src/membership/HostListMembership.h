#pragma once

#include "common/Task.h"
#include "membership/Member.h"
#include "platform/HostList.h"

#include <map>
#include <mutex>
#include <set>

namespace gwt {

/// \brief Derives the members from the platform's host list alone: one daemon of each role on each
/// of our own hosts.
///
/// The simple baseline of membership: it is as stale as the list.
class HostListMembership : public MembershipView
{
public:
    /// \brief Polls \a hostList every \a interval. \a peerPorts holds the port of each role's peer
    /// listener, the same on every host; names of our own hosts start with \a hostPrefix.
    HostListMembership(Executor executor, HostList &hostList, std::string hostPrefix,
                       std::map<Role, std::uint16_t> peerPorts, Milliseconds interval);

    void start();
    std::shared_ptr<const MemberList> members() const override;

private:
    Task<void> pollLoop();
    MemberList toMembers(const std::vector<Host> &hosts) const;

    Executor m_executor;
    HostList &m_hostList;
    std::string m_hostPrefix;
    std::map<Role, std::uint16_t> m_peerPorts;
    Milliseconds m_interval;
    mutable std::mutex m_mutex;
    std::shared_ptr<const MemberList> m_members;
};

} // namespace gwt
