#include "gateway/sharing/DisseminationTree.h"

#include <xxhash.h>

#include <algorithm>
#include <set>

namespace gwt {

namespace {

std::uint64_t positionOf(const FleetMember &member)
{
    return XXH64(member.name.data(), member.name.size(), 0);
}

bool contains(const std::vector<const FleetMember *> &members, const FleetMember *member)
{
    return std::find(members.begin(), members.end(), member) != members.end();
}

} // namespace

DisseminationTree::DisseminationTree(std::string self)
    : m_self(std::move(self))
{ }

void DisseminationTree::setMembers(const std::vector<FleetMember> &members)
{
    std::vector<std::pair<std::uint64_t, const FleetMember *>> ordered;
    ordered.reserve(members.size());
    for (const FleetMember &member : members)
        ordered.emplace_back(positionOf(member), &member);
    std::sort(ordered.begin(), ordered.end());
    m_ordered.clear();
    for (const auto &[position, member] : ordered)
        m_ordered.push_back(*member);
}

DisseminationTree::Members DisseminationTree::present(TimePoint now) const
{
    Members members;
    for (const FleetMember &member : m_ordered) {
        const auto excluded = m_exclusions.find(member.name);
        if (excluded == m_exclusions.end() || excluded->second.until <= now)
            members.push_back(&member);
    }
    return members;
}

DisseminationTree::Members DisseminationTree::watchers(const Members &present)
{
    Members chosen;
    std::set<std::string_view> zones;
    const auto chooseWhere = [&](const auto &isWanted) {
        for (auto member = present.begin(); member != present.end() && chosen.size() < s_watchers;
             ++member) {
            if (isWanted(*member))
                chosen.push_back(*member);
        }
    };
    chooseWhere(
        [&](const FleetMember *member) { return zones.insert(member->availabilityZone).second; });
    chooseWhere([&](const FleetMember *member) { return !contains(chosen, member); });
    return chosen;
}

bool DisseminationTree::isWatcher(TimePoint now) const
{
    return sources(now).empty();
}

bool DisseminationTree::isFirst(TimePoint now) const
{
    const Members members = present(now);
    return !members.empty() && members.front()->name == m_self;
}

DisseminationTree::Place DisseminationTree::place(TimePoint now) const
{
    const Members members = present(now);
    const auto self = std::find_if(members.begin(), members.end(), [&](const FleetMember *member) {
        return member->name == m_self;
    });
    const Members watchers = DisseminationTree::watchers(members);
    if (self == members.end() || contains(watchers, *self))
        return {};
    Members zone;
    for (const FleetMember *member : members) {
        if (member->availabilityZone == (*self)->availabilityZone)
            zone.push_back(member);
    }
    const auto position
        = static_cast<std::size_t>(std::find(zone.begin(), zone.end(), *self) - zone.begin());
    const bool isHeadAsking
        = std::any_of(zone.begin(), zone.begin() + std::min(s_heads, zone.size()),
                      [&](const FleetMember *head) { return !contains(watchers, head); });
    Place place;
    place.hops = isHeadAsking ? 1 : 0;
    const Members *level = &watchers; // the one that this process polls
    std::size_t first = 0; // its first member
    std::size_t size = watchers.size();
    std::size_t next = s_heads; // first member of the zone that is below the level of `position`
    std::size_t width = s_heads; // of that level
    while (position >= next) {
        first = next - width;
        size = width;
        level = &zone;
        width *= s_fanOut;
        next += width;
        ++place.hops;
    }
    for (std::size_t i = 0; i < std::min(s_sources, size); ++i)
        place.sources.push_back(*(*level)[first + (position + i) % size]);
    return place;
}

std::vector<FleetMember> DisseminationTree::others(TimePoint now) const
{
    std::vector<FleetMember> others;
    for (const FleetMember *member : present(now)) {
        if (member->name != m_self && others.size() < s_sources)
            others.push_back(*member);
    }
    return others;
}

void DisseminationTree::noteSilent(const std::string &member, TimePoint now)
{
    Exclusion &exclusion = m_exclusions[member];
    exclusion.length = std::clamp(exclusion.length * 2, s_firstExclusion, s_longestExclusion);
    exclusion.until = now + exclusion.length;
}

} // namespace gwt
