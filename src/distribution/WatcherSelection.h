#pragma once

#include "membership/Member.h"

#include <string>

namespace gwt {

/// \brief Selects at most \a count members of \a zone to watch the store, highest score first.
///
/// Uses rendezvous hashing over alive and suspect members of any role. Members that aren't ready
/// are included, because a daemon must be able to read its first configuration.
MemberList selectWatchers(const std::string &zone, const MemberList &members, std::size_t count);

/// \brief True if \a selfId is one of the members that selectWatchers() returns.
bool isWatcher(const std::string &selfId, const std::string &zone, const MemberList &members,
               std::size_t count);

} // namespace gwt
