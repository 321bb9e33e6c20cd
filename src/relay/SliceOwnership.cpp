#include "relay/SliceOwnership.h"

#include "membership/Ownership.h"

namespace gwt {

SliceOwnership::SliceOwnership(const MembershipView &members, Endpoint self)
    : m_members(members)
    , m_self(std::move(self))
{ }

OwnerRank SliceOwnership::rankOf(const std::string &slice, const Config &config) const
{
    const std::shared_ptr<const MemberList> members = m_members.members();
    if (members->empty())
        return OwnerRank::First;
    const std::lock_guard lock(m_mutex);
    if (m_cachedMembers != members || m_cachedGeneration != config.generation()) {
        m_cachedMembers = members;
        m_cachedGeneration = config.generation();
        m_cache.clear();
    }
    const auto known = m_cache.find(slice);
    if (known != m_cache.end())
        return known->second;
    // A leaving relay still serves requests: its callers learn one by one that it is leaving.
    MemberList seen = *members;
    for (Member &member : seen) {
        if (member.peerAddress != m_self || member.state != MemberState::Leaving)
            continue;
        member.state = MemberState::Alive;
        member.isReady = true;
    }
    const std::vector<Member> owners
        = ownersOf(slice, config.zoneOfSlice(slice), Role::Relay, seen, sliceOwnerCount);
    OwnerRank rank = OwnerRank::None;
    for (std::size_t i = 0; i < owners.size(); ++i) {
        if (owners[i].peerAddress == m_self)
            rank = i == 0 ? OwnerRank::First : OwnerRank::Second;
    }
    m_cache.emplace(slice, rank);
    return rank;
}

} // namespace gwt
