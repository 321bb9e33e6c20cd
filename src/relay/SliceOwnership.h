#pragma once

#include "control/ConfigHolder.h"
#include "membership/Member.h"
#include "relay/OwnerShare.h"

#include <map>
#include <mutex>

namespace gwt {

/// \brief Computes this relay's position among the owners of each slice. Thread-safe.
///
/// Positions follow from this relay's view of the membership. A relay that knows no members yet
/// considers itself the first owner of all slices.
class SliceOwnership
{
public:
    /// \brief \a self is this relay's own peer address.
    SliceOwnership(const MembershipView &members, Endpoint self);

    OwnerRank rankOf(const std::string &slice, const Config &config) const;

private:
    const MembershipView &m_members;
    const Endpoint m_self;
    mutable std::mutex m_mutex;
    mutable std::shared_ptr<const MemberList> m_cachedMembers;
    mutable std::uint64_t m_cachedGeneration = 0;
    mutable std::map<std::string, OwnerRank> m_cache;
};

} // namespace gwt
