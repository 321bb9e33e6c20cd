#include "gateway/sharing/MemberReaper.h"

namespace gwt {

MemberReaper::MemberReaper(std::string self)
    : m_self(std::move(self))
{ }

void MemberReaper::setMembers(const std::vector<FleetMember> &members)
{
    m_members.clear();
    for (const FleetMember &member : members) {
        if (member.name != m_self)
            m_members[member.name] = member;
    }
    std::erase_if(m_silentMembers,
                  [&](const auto &each) { return !m_members.contains(each.first); });
}

std::optional<FleetMember> MemberReaper::dueSilentMember(TimePoint now) const
{
    for (const auto &[name, silence] : m_silentMembers) {
        if (now - silence.probedAt >= s_silentProbeInterval)
            return m_members.at(name);
    }
    return std::nullopt;
}

std::optional<FleetMember> MemberReaper::nextMember(TimePoint now)
{
    if (now < m_nextProbeAt || m_members.empty())
        return std::nullopt;
    m_nextProbeAt = now + s_probeInterval;
    if (auto silent = dueSilentMember(now))
        return silent;
    auto member = m_members.upper_bound(m_lastProbed);
    if (member == m_members.end())
        member = m_members.begin();
    m_lastProbed = member->first;
    return m_silentMembers.contains(m_lastProbed) ? std::nullopt : std::optional(member->second);
}

bool MemberReaper::recordProbe(const std::string &member, bool hasAnswered, TimePoint now)
{
    if (hasAnswered) {
        ++m_answerCount;
        m_silentMembers.erase(member);
        return false;
    }
    if (!m_members.contains(member)) // removed during the probe
        return false;
    Silence &silence
        = m_silentMembers.try_emplace(member, Silence{now, now, 0, m_answerCount}).first->second;
    silence.probedAt = now;
    ++silence.failures;
    const bool othersAnswer = m_answerCount - silence.answerCountBefore >= silence.failures;
    return silence.failures >= s_minFailures && now - silence.since >= s_minSilence && othersAnswer;
}

} // namespace gwt
