#pragma once

#include "common/Time.h"
#include "membership/Member.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace gwt {

/// \brief Filters a membership: leaves out members whose process is proven to have ended.
///
/// A proof holds for one incarnation and for a bounded time; after it the membership alone decides,
/// so that a wrong proof does not outlast the time in which the membership detects a death.
/// Thread-safe.
class ReachableMembers : public MembershipView
{
public:
    /// \brief Each proof holds for \a proofLifetime.
    ReachableMembers(const MembershipView &members, Duration proofLifetime);

    std::shared_ptr<const MemberList> members() const override;
    /// \brief Returns members() as of \a now.
    std::shared_ptr<const MemberList> membersAt(TimePoint now) const;

    /// \brief Records the proof, given at \a now, that the process of \a member has ended. True if
    /// it is the first for this incarnation; later ones are ignored.
    bool markEnded(const Member &member, TimePoint now);
    /// \brief True if there was a proof for this incarnation, even if it has expired.
    bool wasMarkedEnded(const Member &member) const;

private:
    struct Proof
    {
        std::uint64_t incarnation = 0;
        TimePoint expiry;
    };

    bool isExcluded(const Member &member, TimePoint now) const;
    void removeStaleProofs(const MemberList &members) const;

    const MembershipView &m_members;
    const Duration m_proofLifetime;
    mutable std::mutex m_mutex; ///< guards all below
    mutable std::map<std::string, Proof> m_proofs; ///< by member id
    mutable std::shared_ptr<const MemberList> m_source;
    mutable std::shared_ptr<const MemberList> m_reachable; ///< filtered from m_source
    mutable TimePoint m_validUntil; ///< of m_reachable
};

} // namespace gwt
