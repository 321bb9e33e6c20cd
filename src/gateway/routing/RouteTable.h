#pragma once

#include "common/Random.h"
#include "gateway/routing/Route.h"
#include "gateway/routing/TeamDirectory.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

namespace gwt {

/// \brief Looks up the route of a request, and services by name.
///
/// Shared with the requests in flight, so that each uses the version that it started with.
class RouteTable
{
public:
    explicit RouteTable(RoutingConfig config);

    const RoutingConfig &config() const { return m_config; }
    /// \brief The route of \a host with the longest prefix of \a path; null if there is none.
    ///
    /// \a host may carry a port; \a path may carry a query.
    const Route *find(std::string_view host, std::string_view path) const;
    std::set<std::string> routeNames() const;
    /// \brief The specification of \a service; null if the configuration does not name it.
    const ServiceSpec *service(const std::string &service) const;
    const TeamDirectory &teams() const { return m_teams; }

private:
    RoutingConfig m_config;
    /// Longest prefix first.
    std::map<std::string, std::vector<const Route *>, std::less<>> m_routesByHost;
    std::unordered_map<std::string, const ServiceSpec *> m_services;
    TeamDirectory m_teams;
};

} // namespace gwt
