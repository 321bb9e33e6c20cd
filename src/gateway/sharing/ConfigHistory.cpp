#include "gateway/sharing/ConfigHistory.h"

#include "gateway/sharing/StateCodec.h"

#include <algorithm>

namespace gwt {

namespace {

template <typename Message, typename Item>
VersionedSet::Digests digestsOf(const std::vector<Item> &items)
{
    VersionedSet::Digests digests;
    for (const Item &item : items) {
        Message message;
        encode(item, message);
        digests[item.name] = digestOf(message);
    }
    return digests;
}

/// The changes in a message, from its \a changed items and the names of \a removed ones.
template <typename Messages, typename Names>
VersionedSet::Changes decodeChanges(const Messages &changed, const Names &removed)
{
    VersionedSet::Changes changes;
    for (const std::string &name : removed)
        changes[name] = std::nullopt;
    for (const auto &message : changed)
        changes[message.name()] = digestOf(message);
    return changes;
}

/// Removes the items that \a changes names and adds those in \a changed.
template <typename Item, typename Messages>
void applyChanges(std::vector<Item> &items, const VersionedSet::Changes &changes,
                  const Messages &changed)
{
    std::erase_if(items, [&](const Item &item) { return changes.contains(item.name); });
    for (const auto &message : changed)
        items.push_back(decode(message));
}

} // namespace

void ConfigHistory::replace(RoutingConfig config)
{
    const auto routes = digestsOf<wire::RouteMessage>(config.routes);
    const auto services = digestsOf<wire::ServiceMessage>(config.services);
    const auto teams = digestsOf<wire::TeamMessage>(config.teams);
    m_hasUniqueNames = routes.size() == config.routes.size()
        && services.size() == config.services.size() && teams.size() == config.teams.size();
    m_routes.apply(m_routes.differences(routes), config.version);
    m_services.apply(m_services.differences(services), config.version);
    m_teams.apply(m_teams.differences(teams), config.version);
    m_current = std::move(config);
}

std::uint64_t ConfigHistory::combineDigests(std::uint64_t routes, std::uint64_t services,
                                            std::uint64_t teams)
{
    constexpr std::uint64_t multiplier = 0x9E3779B97F4A7C15; // not symmetric in the digests
    return (routes * multiplier + services) * multiplier + teams;
}

void ConfigHistory::encodeFull(wire::RoutingConfigMessage &message) const
{
    encode(m_current, message);
}

void ConfigHistory::encodeSince(std::uint64_t version, wire::RoutingConfigMessage &message) const
{
    const auto routes = m_routes.changedAfter(version);
    const auto services = m_services.changedAfter(version);
    const auto teams = m_teams.changedAfter(version);
    if (!m_hasUniqueNames || !routes || !services || !teams) {
        encodeFull(message);
        return;
    }
    message.set_version(m_current.version);
    message.set_base_version(version);
    message.set_digest(combineDigests(m_routes.digest(), m_services.digest(), m_teams.digest()));
    encode(m_current.limits, message);
    std::set<std::string> removedRoutes = *routes;
    for (const Route &route : m_current.routes) {
        if (removedRoutes.erase(route.name) > 0)
            encode(route, *message.add_routes());
    }
    std::set<std::string> removedServices = *services;
    for (const ServiceSpec &service : m_current.services) {
        if (removedServices.erase(service.name) > 0)
            encode(service, *message.add_services());
    }
    message.set_has_teams(m_current.hasTeams);
    std::set<std::string> removedTeams = *teams;
    for (const Team &team : m_current.teams) {
        if (removedTeams.erase(team.name) > 0)
            encode(team, *message.add_teams());
    }
    message.mutable_removed_teams()->Assign(removedTeams.begin(), removedTeams.end());
    message.mutable_removed_routes()->Assign(removedRoutes.begin(), removedRoutes.end());
    message.mutable_removed_services()->Assign(removedServices.begin(), removedServices.end());
}

Outcome<Done> ConfigHistory::apply(const wire::RoutingConfigMessage &message)
{
    if (message.base_version() > 0)
        return applyDelta(message);
    replace(decode(message));
    return Done{};
}

Outcome<Done> ConfigHistory::applyDelta(const wire::RoutingConfigMessage &message)
{
    const auto routes = decodeChanges(message.routes(), message.removed_routes());
    const auto services = decodeChanges(message.services(), message.removed_services());
    const auto teams = decodeChanges(message.teams(), message.removed_teams());
    const std::uint64_t result = combineDigests(
        m_routes.digestAfter(routes), m_services.digestAfter(services), m_teams.digestAfter(teams));
    if (result != message.digest() || !m_hasUniqueNames)
        return Error{ErrorCode::Malformed, "digest_differs", "configuration"};
    m_routes.apply(routes, message.version());
    m_services.apply(services, message.version());
    m_teams.apply(teams, message.version());
    applyChanges(m_current.routes, routes, message.routes());
    applyChanges(m_current.services, services, message.services());
    applyChanges(m_current.teams, teams, message.teams());
    m_current.hasTeams = message.has_teams();
    m_current.limits = decodeLimits(message);
    m_current.version = message.version();
    return Done{};
}

} // namespace gwt
