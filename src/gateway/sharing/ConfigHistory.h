#pragma once

#include "common/Outcome.h"
#include "gateway/routing/Route.h"
#include "gateway/sharing/VersionedSet.h"

#include <gateway.pb.h>

namespace gwt {

/// \brief Holds the newest configuration and which routes, services and teams changed in
/// which version.
class ConfigHistory
{
public:
    const RoutingConfig &current() const { return m_current; }
    /// \brief Replaces the current configuration and logs what changed.
    void replace(RoutingConfig config);
    void encodeFull(wire::RoutingConfigMessage &message) const;
    /// \brief Encodes what changed after \a version, or all if the log does not reach back to it.
    void encodeSince(std::uint64_t version, wire::RoutingConfigMessage &message) const;
    /// \brief Applies a newer configuration received from another process, in full or as a delta.
    ///
    /// Errors: Malformed "digest_differs"; the current configuration is then unchanged.
    Outcome<Done> apply(const wire::RoutingConfigMessage &message);

private:
    Outcome<Done> applyDelta(const wire::RoutingConfigMessage &message);
    static std::uint64_t combineDigests(std::uint64_t routes, std::uint64_t services,
                                        std::uint64_t teams);

    RoutingConfig m_current;
    VersionedSet m_routes;
    VersionedSet m_services;
    VersionedSet m_teams;
    bool m_hasUniqueNames = true; ///< deltas identify routes, services and teams by name
};

} // namespace gwt
