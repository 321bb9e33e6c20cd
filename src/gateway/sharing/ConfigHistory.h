#pragma once

#include "common/Outcome.h"
#include "gateway/routing/Route.h"
#include "gateway/sharing/VersionedSet.h"

#include <gateway.pb.h>

namespace gwt {

/// \brief The newest configuration, with what changed between the versions that were held.
class ConfigHistory
{
public:
    const RoutingConfig &current() const { return m_current; }
    /// \brief Takes \a config as the newest.
    void replace(RoutingConfig config);
    void tellAll(wire::RoutingConfigMessage &message) const;
    /// \brief Tells what changed after \a version, or all if that is not known.
    void tellSince(std::uint64_t version, wire::RoutingConfigMessage &message) const;
    /// \brief Takes a newer configuration of another process, whole or as differences.
    ///
    /// Errors: Malformed "digest_differs", with the configuration held as before.
    Outcome<Done> take(const wire::RoutingConfigMessage &message);

private:
    Outcome<Done> takeDifferences(const wire::RoutingConfigMessage &message);
    std::uint64_t digest(std::uint64_t routes, std::uint64_t services) const;

    RoutingConfig m_current;
    VersionedSet m_routes;
    VersionedSet m_services;
    bool m_hasUniqueNames = true; ///< differences go by name
};

} // namespace gwt
