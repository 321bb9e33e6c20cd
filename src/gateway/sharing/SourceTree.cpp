#include "gateway/sharing/SourceTree.h"

#include <xxhash.h>

#include <algorithm>

namespace gwt {

namespace {

std::uint64_t positionOf(const FleetMember &member)
{
    return XXH64(member.name.data(), member.name.size(), 0);
}

} // namespace

SourceTree::SourceTree(std::string self)
    : m_self(std::move(self))
{ }

void SourceTree::setMembers(const std::vector<FleetMember> &members)
{
    m_ordered = members;
    std::sort(m_ordered.begin(), m_ordered.end(),
              [](const auto &a, const auto &b) { return positionOf(a) < positionOf(b); });
}

std::vector<const FleetMember *> SourceTree::present(TimePoint now) const
{
    std::vector<const FleetMember *> members;
    for (const FleetMember &member : m_ordered) {
        const auto excluded = m_exclusions.find(member.name);
        if (excluded == m_exclusions.end() || excluded->second.until <= now)
            members.push_back(&member);
    }
    return members;
}

bool SourceTree::isWatcher(TimePoint now) const
{
    return sources(now).empty();
}

bool SourceTree::isFirst(TimePoint now) const
{
    const std::vector<const FleetMember *> members = present(now);
    return !members.empty() && members.front()->name == m_self;
}

std::vector<FleetMember> SourceTree::sources(TimePoint now) const
{
    const std::vector<const FleetMember *> members = present(now);
    const auto self = std::find_if(members.begin(), members.end(), [&](const FleetMember *member) {
        return member->name == m_self;
    });
    const auto position = static_cast<std::size_t>(self - members.begin());
    std::size_t before = 0; // first member of the level before
    std::size_t size = std::min(s_watchers, members.size()); // of the level before
    if (position < size || size == 0 || self == members.end())
        return {};
    std::size_t next = size; // first member of the level looked at
    while (position >= next + size * s_fanOut) {
        before = next;
        size *= s_fanOut;
        next += size;
    }
    std::vector<FleetMember> sources;
    for (std::size_t i = 0; i < std::min(s_watchers, size); ++i)
        sources.push_back(*members[before + (position + i) % size]);
    return sources;
}

std::vector<FleetMember> SourceTree::others(TimePoint now) const
{
    std::vector<FleetMember> others;
    for (const FleetMember *member : present(now)) {
        if (member->name != m_self && others.size() < s_watchers)
            others.push_back(*member);
    }
    return others;
}

void SourceTree::noteSilent(const std::string &member, TimePoint now)
{
    Exclusion &exclusion = m_exclusions[member];
    exclusion.length = std::clamp(exclusion.length * 2, s_firstExclusion, s_longestExclusion);
    exclusion.until = now + exclusion.length;
}

} // namespace gwt
