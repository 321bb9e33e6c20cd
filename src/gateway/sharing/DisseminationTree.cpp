#include "gateway/sharing/DisseminationTree.h"

#include <xxhash.h>

#include <algorithm>
#include <set>

namespace gwt {

namespace {

std::uint64_t orderKeyOf(const FleetMember &member)
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
        ordered.emplace_back(orderKeyOf(member), &member);
    std::sort(ordered.begin(), ordered.end());
    m_orderedMembers.clear();
    for (const auto &[position, member] : ordered)
        m_orderedMembers.push_back(*member);
}

DisseminationTree::Members DisseminationTree::activeMembers(TimePoint now) const
{
    Members members;
    for (const FleetMember &member : m_orderedMembers) {
        const auto excluded = m_exclusions.find(member.name);
        if (excluded == m_exclusions.end() || excluded->second.until <= now)
            members.push_back(&member);
    }
    return members;
}

DisseminationTree::Members DisseminationTree::chooseWatchers(const Members &candidates)
{
    Members chosen;
    std::set<std::string_view> zones;
    const auto chooseWhere = [&](const auto &isWanted) {
        for (auto member = candidates.begin();
             member != candidates.end() && chosen.size() < s_watcherCount; ++member) {
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

bool DisseminationTree::isCoordinator(TimePoint now) const
{
    const Members members = activeMembers(now);
    return !members.empty() && members.front()->name == m_self;
}

std::vector<FleetMember> DisseminationTree::watchers(TimePoint now) const
{
    std::vector<FleetMember> watchers;
    for (const FleetMember *member : chooseWatchers(activeMembers(now)))
        watchers.push_back(*member);
    return watchers;
}

DisseminationTree::Upstream DisseminationTree::upstream(TimePoint now) const
{
    const Members members = activeMembers(now);
    const auto self = std::find_if(members.begin(), members.end(), [&](const FleetMember *member) {
        return member->name == m_self;
    });
    const Members watchers = DisseminationTree::chooseWatchers(members);
    if (self == members.end() || contains(watchers, *self))
        return {};
    Members zone;
    for (const FleetMember *member : members) {
        if (member->availabilityZone == (*self)->availabilityZone)
            zone.push_back(member);
    }
    const auto position
        = static_cast<std::size_t>(std::find(zone.begin(), zone.end(), *self) - zone.begin());
    const bool hasPollingHead
        = std::any_of(zone.begin(), zone.begin() + std::min(s_headsPerZone, zone.size()),
                      [&](const FleetMember *head) { return !contains(watchers, head); });
    Upstream upstream;
    upstream.hops = hasPollingHead ? 1 : 0;
    const Members *sourceLevel = &watchers; // the level that this process polls
    std::size_t sourceBegin = 0; // index of its first member
    std::size_t sourceSize = watchers.size();
    std::size_t levelEnd = s_headsPerZone; // first member below this level
    std::size_t levelSize = s_headsPerZone;
    while (position >= levelEnd) {
        sourceBegin = levelEnd - levelSize;
        sourceSize = levelSize;
        sourceLevel = &zone;
        levelSize *= s_fanOut;
        levelEnd += levelSize;
        ++upstream.hops;
    }
    for (std::size_t i = 0; i < std::min(s_sourceCount, sourceSize); ++i)
        upstream.sources.push_back(*(*sourceLevel)[sourceBegin + (position + i) % sourceSize]);
    return upstream;
}

std::vector<FleetMember> DisseminationTree::fallbackSources(TimePoint now) const
{
    std::vector<FleetMember> sources;
    for (const FleetMember *member : activeMembers(now)) {
        if (member->name != m_self && sources.size() < s_sourceCount)
            sources.push_back(*member);
    }
    return sources;
}

void DisseminationTree::recordFailure(const std::string &member, Duration pollTime, TimePoint now)
{
    Exclusion &exclusion = m_exclusions[member];
    const Duration least = std::max(s_initialExclusion, s_exclusionPerPollTime * pollTime);
    exclusion.length = std::min(std::max(exclusion.length * 2, least), s_maxExclusion);
    exclusion.until = now + exclusion.length;
}

} // namespace gwt
