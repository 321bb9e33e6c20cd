#include "distribution/WatcherSelection.h"

#include <xxhash.h>

#include <algorithm>

namespace gwt {

namespace {

constexpr XXH64_hash_t watcherSeed = 0x776174636865; // "watche"

bool isEligible(const Member &member, const std::string &zone)
{
    const bool isServing
        = member.state == MemberState::Alive || member.state == MemberState::Suspect;
    return isServing && member.availabilityZone == zone;
}

} // namespace

MemberList selectWatchers(const std::string &zone, const MemberList &members, std::size_t count)
{
    std::vector<std::pair<XXH64_hash_t, const Member *>> scored;
    for (const Member &member : members) {
        if (isEligible(member, zone)) {
            const auto score
                = XXH3_64bits_withSeed(member.id.data(), member.id.size(), watcherSeed);
            scored.emplace_back(score, &member);
        }
    }
    const std::size_t selectedCount = std::min(count, scored.size());
    std::partial_sort(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(selectedCount),
                      scored.end(), [](const auto &a, const auto &b) {
                          return a.first != b.first ? a.first > b.first
                                                    : a.second->id < b.second->id;
                      });
    MemberList watchers;
    for (std::size_t i = 0; i < selectedCount; ++i)
        watchers.push_back(*scored[i].second);
    return watchers;
}

bool isWatcher(const std::string &selfId, const std::string &zone, const MemberList &members,
               std::size_t count)
{
    const MemberList watchers = selectWatchers(zone, members, count);
    return std::any_of(watchers.begin(), watchers.end(),
                       [&](const Member &member) { return member.id == selfId; });
}

} // namespace gwt
