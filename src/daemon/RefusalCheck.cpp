#include "daemon/RefusalCheck.h"

#include "peer/ConnectAttempt.h"

#include <algorithm>

namespace gwt {

namespace {

constexpr Milliseconds connectTimeout{50}; ///< within one host; half of the caller's time

} // namespace

RefusalCheck::RefusalCheck(const MembershipView &members, std::string host)
    : m_members(members)
    , m_host(std::move(host))
{ }

Task<wire::RefusalCheckReply> RefusalCheck::answer(wire::RefusalCheckRequest request) const
{
    wire::RefusalCheckReply reply;
    const std::shared_ptr<const MemberList> members = m_members.members();
    const auto target = std::find_if(members->begin(), members->end(), [&](const Member &member) {
        return member.host == m_host && toString(member.peerAddress) == request.address();
    });
    if (target == members->end())
        co_return reply;
    const Endpoint remote = target->peerAddress;
    const bool isRefused = co_await refusesConnections(remote, connectTimeout);
    reply.set_refuses(isRefused);
    co_return reply;
}

} // namespace gwt
