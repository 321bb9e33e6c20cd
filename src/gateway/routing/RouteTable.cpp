#include "gateway/routing/RouteTable.h"

#include "common/LowerCase.h"

#include <algorithm>

namespace gwt {

RouteTable::RouteTable(RoutingConfig config)
    : m_config(std::move(config))
    , m_teams(m_config.teams)
{
    for (const Route &route : m_config.routes)
        m_routesByHost[lowerCase(route.host)].push_back(&route);
    for (auto &[host, routes] : m_routesByHost) {
        // Ties go by name: processes may hold the same routes in different orders.
        std::sort(routes.begin(), routes.end(), [](const Route *a, const Route *b) {
            const std::size_t lengthA = a->pathPrefix.size();
            const std::size_t lengthB = b->pathPrefix.size();
            return lengthA != lengthB ? lengthA > lengthB : a->name < b->name;
        });
    }
    for (const ServiceSpec &service : m_config.services)
        m_services[service.name] = &service;
}

const Route *RouteTable::find(std::string_view host, std::string_view path) const
{
    const auto routes = m_routesByHost.find(lowerCase(host.substr(0, host.find(':'))));
    if (routes == m_routesByHost.end())
        return nullptr;
    path = path.substr(0, path.find('?'));
    for (const Route *route : routes->second) {
        if (path.starts_with(route->pathPrefix))
            return route;
    }
    return nullptr;
}

std::set<std::string> RouteTable::routeNames() const
{
    std::set<std::string> names;
    for (const Route &route : m_config.routes)
        names.insert(route.name);
    return names;
}

const ServiceSpec *RouteTable::service(const std::string &service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? nullptr : found->second;
}

} // namespace gwt
