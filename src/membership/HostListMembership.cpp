#include "membership/HostListMembership.h"

#include "common/Sleep.h"

#include <algorithm>

namespace gwt {

namespace {

constexpr Milliseconds hostListTimeout{2000};

} // namespace

HostListMembership::HostListMembership(Executor executor, HostList &hostList,
                                       std::string hostPrefix,
                                       std::map<Role, std::uint16_t> peerPorts,
                                       Milliseconds interval)
    : m_executor(std::move(executor))
    , m_hostList(hostList)
    , m_hostPrefix(std::move(hostPrefix))
    , m_peerPorts(std::move(peerPorts))
    , m_interval(interval)
    , m_members(std::make_shared<const MemberList>())
{ }

void HostListMembership::start()
{
    spawn(m_executor, pollLoop());
}

std::shared_ptr<const MemberList> HostListMembership::members() const
{
    const std::lock_guard lock(m_mutex);
    return m_members;
}

MemberList HostListMembership::toMembers(const std::vector<Host> &hosts) const
{
    MemberList members;
    for (const Host &host : hosts) {
        if (host.name.rfind(m_hostPrefix, 0) != 0)
            continue;
        for (const auto &[role, port] : m_peerPorts) {
            Member member;
            member.id = std::string(toString(role)) + "@" + host.name;
            member.role = role;
            member.host = host.name;
            member.availabilityZone = host.availabilityZone;
            member.peerAddress = {host.address, port};
            member.isReady = true;
            if (host.state == HostState::Leaving)
                member.state = MemberState::Leaving;
            members.push_back(std::move(member));
        }
    }
    std::sort(members.begin(), members.end(),
              [](const Member &a, const Member &b) { return a.id < b.id; });
    return members;
}

Task<void> HostListMembership::pollLoop()
{
    while (true) {
        const auto hosts = co_await m_hostList.hosts(Clock::now() + hostListTimeout);
        if (isOk(hosts)) {
            auto members = std::make_shared<const MemberList>(toMembers(valueOf(hosts)));
            const std::lock_guard lock(m_mutex);
            m_members = std::move(members);
        }
        co_await sleepFor(m_interval);
    }
}

} // namespace gwt
