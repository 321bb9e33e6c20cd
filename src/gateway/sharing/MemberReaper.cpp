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
    std::erase_if(m_silent, [&](const auto &each) { return !m_members.contains(each.first); });
}

std::optional<FleetMember> MemberReaper::silentMember(TimePoint now) const
{
    for (const auto &[name, silence] : m_silent) {
        if (now - silence.probedAt >= s_silentPause)
            return m_members.at(name);
    }
    return std::nullopt;
}

std::optional<FleetMember> MemberReaper::next(TimePoint now)
{
    if (now < m_nextProbe || m_members.empty())
        return std::nullopt;
    m_nextProbe = now + s_probePause;
    if (auto silent = silentMember(now))
        return silent;
    auto member = m_members.upper_bound(m_last);
    if (member == m_members.end())
        member = m_members.begin();
    m_last = member->first;
    return m_silent.contains(m_last) ? std::nullopt : std::optional(member->second);
}

bool MemberReaper::note(const std::string &member, bool hasAnswered, TimePoint now)
{
    if (hasAnswered) {
        ++m_answers;
        m_silent.erase(member);
        return false;
    }
    Silence &silence = m_silent.try_emplace(member, Silence{now, now, 0, m_answers}).first->second;
    silence.probedAt = now;
    ++silence.failures;
    const bool othersAnswer = m_answers - silence.answersBefore >= silence.failures;
    return silence.failures >= s_failures && now - silence.since >= s_silence && othersAnswer;
}

} // namespace gwt
