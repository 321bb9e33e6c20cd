#include "membership/Ownership.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace gwt {

namespace {

bool mayOwn(const Member &member, Role role)
{
    const bool isServing
        = member.state == MemberState::Alive || member.state == MemberState::Suspect;
    return member.role == role && member.isReady && isServing;
}

/// \brief Weighted rendezvous score: -weight / ln(u) with u uniform in (0, 1).
double score(const std::string &key, const Member &member, const std::string &preferredZone)
{
    const XXH64_hash_t seed = XXH3_64bits(key.data(), key.size());
    const XXH64_hash_t hash = XXH3_64bits_withSeed(member.id.data(), member.id.size(), seed);
    constexpr double scale = 1.0 / 9007199254740992.0; // 2^-53
    const double uniform = (static_cast<double>(hash >> 11U) + 0.5) * scale;
    const bool isPreferred = !preferredZone.empty() && member.availabilityZone == preferredZone;
    return -(isPreferred ? sameZoneWeight : 1.0) / std::log(uniform);
}

} // namespace

std::vector<Member> ownersOf(const std::string &key, const std::string &preferredZone, Role role,
                             const MemberList &members, std::size_t count)
{
    std::vector<std::pair<double, const Member *>> scored;
    for (const Member &member : members) {
        if (mayOwn(member, role))
            scored.emplace_back(score(key, member, preferredZone), &member);
    }
    const std::size_t ownerCount = std::min(count, scored.size());
    const auto isBetter = [](const auto &a, const auto &b) {
        return a.first != b.first ? a.first > b.first : a.second->id < b.second->id;
    };
    std::partial_sort(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(ownerCount),
                      scored.end(), isBetter);
    std::vector<Member> owners;
    owners.reserve(ownerCount);
    for (std::size_t i = 0; i < ownerCount; ++i)
        owners.push_back(*scored[i].second);
    return owners;
}

MemberList withLeavingAsAlive(const MemberList &members)
{
    MemberList result = members;
    for (Member &member : result) {
        if (member.state != MemberState::Leaving)
            continue;
        member.state = MemberState::Alive;
        member.isReady = true;
    }
    return result;
}

std::vector<Member> sliceOwnersToCall(const std::string &slice, const std::string &zone,
                                      const MemberList &members)
{
    std::vector<Member> owners = ownersOf(slice, zone, Role::Relay, members, sliceOwnerCount);
    const bool hasLeaving = std::any_of(members.begin(), members.end(), [](const Member &member) {
        return member.role == Role::Relay && member.state == MemberState::Leaving;
    });
    if (!hasLeaving)
        return owners;
    for (Member &former : ownersOf(slice, zone, Role::Relay, withLeavingAsAlive(members), 1)) {
        const bool isListed = std::any_of(owners.begin(), owners.end(), [&](const Member &owner) {
            return owner.id == former.id;
        });
        if (!isListed)
            owners.push_back(std::move(former));
    }
    return owners;
}

} // namespace gwt
