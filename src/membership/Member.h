#pragma once

#include "common/Endpoint.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace gwt {

enum class Role { Entry, Relay, Booking };

std::string_view toString(Role role);

/// \brief State of a member as this process sees it.
enum class MemberState { Alive, Suspect, Leaving, Dead };

std::string_view toString(MemberState state);

/// \brief One daemon of the fleet.
struct Member
{
    std::string id; ///< unique name of the daemon, from its settings
    Role role = Role::Entry;
    std::string host;
    std::string availabilityZone;
    Endpoint peerAddress;
    Endpoint gossipAddress;
    MemberState state = MemberState::Alive;
    bool isReady = false;
    std::uint64_t incarnation = 0; ///< increases with each start, refutation and own change
    std::uint64_t generation = 0; ///< of the configuration active there

    bool operator==(const Member &) const = default;
};

using MemberList = std::vector<Member>;

/// \brief Read access to the current members. Implementations are thread-safe.
class MembershipView
{
public:
    virtual ~MembershipView() = default;

    /// \brief All members except dead ones, sorted by id. Never null.
    virtual std::shared_ptr<const MemberList> members() const = 0;
};

} // namespace gwt
