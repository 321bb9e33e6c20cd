#pragma once

#include "common/Task.h"
#include "membership/Member.h"

#include <peer.pb.h>

namespace gwt {

/// \brief Answers other hosts whether a daemon on this host refuses connections.
///
/// A connection within the host is refused only if no process listens, while one from another host
/// is also refused by a cut between the two.
class RefusalCheck
{
public:
    static constexpr const char *s_path = "/member/refuses"; ///< of the calls

    /// \brief \a host is the name of this host.
    RefusalCheck(const MembershipView &members, std::string host);

    /// \brief Checks only members on this host; all others count as not refusing.
    Task<wire::RefusalCheckReply> answer(wire::RefusalCheckRequest request) const;

private:
    const MembershipView &m_members;
    const std::string m_host;
};

} // namespace gwt
