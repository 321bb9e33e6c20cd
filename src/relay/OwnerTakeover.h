#pragma once

#include "common/Metrics.h"
#include "common/Task.h"
#include "control/ConfigHolder.h"
#include "membership/ReachableMembers.h"
#include "peer/PeerClient.h"
#include "relay/SliceOwnership.h"

#include <map>
#include <mutex>
#include <optional>

namespace gwt {

/// \brief Checks on demand whether the first owner of a slice has terminated. Thread-safe.
///
/// Callers fall back to the second owner once the first has proved that it ran nothing, usually by
/// refusing the connection. The second owner then tries to connect too. A cut refuses connections
/// as well, so another daemon on the host of the first owner has to confirm the refusal, over a
/// connection that no cut between hosts affects. Then the first owner counts as terminated at once,
/// long before the membership detects it. A frozen owner, or a host that does not answer, proves
/// nothing.
class OwnerTakeover
{
public:
    /// \brief \a ownership must use \a members as its membership.
    OwnerTakeover(const ConfigHolder &config, const SliceOwnership &ownership,
                  ReachableMembers &members, PeerClient &peers, Metrics &metrics);

    /// \brief If this relay is the second owner of the slice of \a service, checks the first owner
    /// and marks it in the members if it has terminated. Checks are rate-limited per member.
    Task<void> check(std::string service);

private:
    /// \brief True if another daemon on the host of \a relay states that it refuses connections.
    Task<bool> isRefusalConfirmed(Member relay);
    std::optional<Member> precedingOwner(const std::string &service) const;
    bool isDue(const std::string &member, TimePoint now);
    void countCheck(const char *outcome);

    const ConfigHolder &m_config;
    const SliceOwnership &m_ownership;
    ReachableMembers &m_members;
    PeerClient &m_peers;
    Metrics &m_metrics;
    std::mutex m_mutex; ///< guards m_nextChecks
    std::map<std::string, TimePoint> m_nextChecks; ///< by member id
};

} // namespace gwt
