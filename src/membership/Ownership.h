#pragma once

#include "membership/Member.h"

#include <string>
#include <vector>

namespace gwt {

/// \brief The owners of \a key among the ready members of \a role, best first, at most \a count.
///
/// Rendezvous hashing: a member that joins or leaves moves only the keys that it owns. Members in
/// \a preferredZone have \c sameZoneWeight times the weight; an empty zone prefers none. Suspect
/// members can be owners, leaving and dead ones cannot.
std::vector<Member> ownersOf(const std::string &key, const std::string &preferredZone, Role role,
                             const MemberList &members, std::size_t count);

/// \brief The members to call for a slice, best first: its owners, then a leaving member that owned
/// it until now and still serves it.
std::vector<Member> sliceOwnersToCall(const std::string &slice, const std::string &zone,
                                      const MemberList &members);

/// \brief A copy of \a members in which leaving ones are alive and ready.
MemberList withLeavingAsAlive(const MemberList &members);

/// \brief Weight of a member in the preferred zone; others weigh 1.
inline constexpr double sameZoneWeight = 4;

/// \brief Number of owners of a slice: the first serves, the second takes over.
inline constexpr std::size_t sliceOwnerCount = 2;

} // namespace gwt
