#include "membership/ReachableMembers.h"

#include <algorithm>

namespace gwt {

ReachableMembers::ReachableMembers(const MembershipView &members, Duration proofLifetime)
    : m_members(members)
    , m_proofLifetime(proofLifetime)
{ }

std::shared_ptr<const MemberList> ReachableMembers::members() const
{
    return membersAt(Clock::now());
}

std::shared_ptr<const MemberList> ReachableMembers::membersAt(TimePoint now) const
{
    const std::shared_ptr<const MemberList> source = m_members.members();
    const std::lock_guard lock(m_mutex);
    if (m_source != source)
        removeStaleProofs(*source);
    if (m_proofs.empty())
        return m_source = m_reachable = source;
    if (m_source == source && now < m_validUntil)
        return m_reachable;
    auto reachable = std::make_shared<MemberList>();
    m_validUntil = TimePoint::max();
    for (const Member &member : *source) {
        if (isExcluded(member, now))
            m_validUntil = std::min(m_validUntil, m_proofs.at(member.id).expiry);
        else
            reachable->push_back(member);
    }
    m_source = source;
    return m_reachable = std::move(reachable);
}

bool ReachableMembers::markEnded(const Member &member, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_proofs.find(member.id);
    if (found != m_proofs.end() && found->second.incarnation == member.incarnation)
        return false;
    m_proofs[member.id] = Proof{member.incarnation, now + m_proofLifetime};
    m_validUntil = now;
    return true;
}

bool ReachableMembers::wasMarkedEnded(const Member &member) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_proofs.find(member.id);
    return found != m_proofs.end() && found->second.incarnation == member.incarnation;
}

bool ReachableMembers::isExcluded(const Member &member, TimePoint now) const
{
    const auto found = m_proofs.find(member.id);
    return found != m_proofs.end() && found->second.incarnation == member.incarnation
        && now < found->second.expiry;
}

void ReachableMembers::removeStaleProofs(const MemberList &members) const
{
    std::erase_if(m_proofs, [&](const auto &entry) {
        return std::none_of(members.begin(), members.end(), [&](const Member &member) {
            return member.id == entry.first && member.incarnation == entry.second.incarnation;
        });
    });
}

} // namespace gwt
