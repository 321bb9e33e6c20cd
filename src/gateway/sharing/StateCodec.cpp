#include "gateway/sharing/StateCodec.h"

#include <xxhash.h>

#include <algorithm>

namespace gwt {

void encode(const Route &route, wire::RouteMessage &message)
{
    message.set_name(route.name);
    message.set_host(route.host);
    message.set_path_prefix(route.pathPrefix);
    message.set_is_idempotent(route.isIdempotent);
    message.set_rank(route.rank);
    message.set_max_attempts(route.maxAttempts);
    message.set_timeout_ms(route.timeout.count());
    message.set_target_ms(route.target.count());
    for (const WeightedService &service : route.services) {
        wire::WeightedServiceMessage &part = *message.add_services();
        part.set_service(service.service);
        part.set_weight(service.weight);
    }
    for (const std::string &shard : route.query.shards)
        message.add_shards(shard);
    message.set_top_records(route.query.topRecords);
    message.set_min_share(route.query.minShare);
    message.set_allows_anonymous(route.allowsAnonymous);
}

Route decode(const wire::RouteMessage &message)
{
    Route route;
    route.name = message.name();
    route.host = message.host();
    route.pathPrefix = message.path_prefix();
    route.isIdempotent = message.is_idempotent();
    route.rank = message.rank();
    route.maxAttempts = message.max_attempts();
    route.timeout = Milliseconds(message.timeout_ms());
    route.target = Milliseconds(message.target_ms());
    for (const auto &service : message.services())
        route.services.push_back({service.service(), service.weight()});
    route.query.shards.assign(message.shards().begin(), message.shards().end());
    route.query.topRecords = message.top_records();
    route.query.minShare = message.min_share();
    route.allowsAnonymous = message.allows_anonymous();
    return route;
}

void encode(const ServiceSpec &service, wire::ServiceMessage &message)
{
    message.set_name(service.name);
    message.set_health_path(service.healthPath);
    message.set_max_connections(service.maxConnections);
}

ServiceSpec decode(const wire::ServiceMessage &message)
{
    return {message.name(), message.health_path(), message.max_connections()};
}

void encode(const Team &team, wire::TeamMessage &message)
{
    message.set_name(team.name);
    for (const KeyDigest &key : team.keys)
        message.add_key_digests(key.data(), key.size());
    if (team.rank)
        message.set_rank(*team.rank);
    message.set_rate_per_second(team.quota.ratePerSecond);
    message.set_burst(team.quota.burst);
}

Team decode(const wire::TeamMessage &message)
{
    Team team;
    team.name = message.name();
    for (const std::string &digest : message.key_digests()) {
        KeyDigest key{};
        if (digest.size() != key.size())
            continue;
        std::copy(digest.begin(), digest.end(), key.begin());
        team.keys.push_back(key);
    }
    if (message.has_rank())
        team.rank = message.rank();
    team.quota = {message.rate_per_second(), message.burst()};
    return team;
}

void encode(const RequestLimits &limits, wire::RoutingConfigMessage &message)
{
    message.set_max_header_bytes(limits.maxHeaderBytes);
    message.set_max_body_bytes(limits.maxBodyBytes);
    message.set_header_timeout_ms(limits.headerTimeout.count());
    message.set_idle_timeout_ms(limits.idleTimeout.count());
}

RequestLimits decodeLimits(const wire::RoutingConfigMessage &message)
{
    RequestLimits limits;
    limits.maxHeaderBytes = message.max_header_bytes();
    limits.maxBodyBytes = message.max_body_bytes();
    limits.headerTimeout = Milliseconds(message.header_timeout_ms());
    limits.idleTimeout = Milliseconds(message.idle_timeout_ms());
    return limits;
}

void encode(const RoutingConfig &config, wire::RoutingConfigMessage &message)
{
    message.set_version(config.version);
    for (const Route &route : config.routes)
        encode(route, *message.add_routes());
    for (const ServiceSpec &service : config.services)
        encode(service, *message.add_services());
    message.set_has_teams(config.hasTeams);
    for (const Team &team : config.teams)
        encode(team, *message.add_teams());
    encode(config.limits, message);
}

RoutingConfig decode(const wire::RoutingConfigMessage &message)
{
    RoutingConfig config;
    config.version = message.version();
    for (const auto &route : message.routes())
        config.routes.push_back(decode(route));
    for (const auto &service : message.services())
        config.services.push_back(decode(service));
    config.hasTeams = message.has_teams();
    for (const auto &team : message.teams())
        config.teams.push_back(decode(team));
    config.limits = decodeLimits(message);
    return config;
}

void encode(const BackendChange &change, wire::BackendChangeMessage &message)
{
    message.set_id(change.id);
    if (!change.entry)
        return;
    wire::BackendMessage &entry = *message.mutable_entry();
    entry.set_service(change.entry->service);
    entry.set_address(change.entry->address.address);
    entry.set_port(change.entry->address.port);
    entry.set_availability_zone(change.entry->availabilityZone);
    entry.set_slots(change.entry->slots);
    entry.set_is_draining(change.entry->isDraining);
    entry.set_warmup_left_ms(change.entry->warmupLeft.count());
    entry.set_incarnation(change.entry->incarnation);
}

BackendChange decode(const wire::BackendChangeMessage &message)
{
    BackendChange change{message.id(), std::nullopt};
    if (!message.has_entry())
        return change;
    BackendEntry entry;
    entry.id = message.id();
    entry.service = message.entry().service();
    entry.address = {message.entry().address(), static_cast<std::uint16_t>(message.entry().port())};
    entry.availabilityZone = message.entry().availability_zone();
    entry.slots = message.entry().slots();
    entry.isDraining = message.entry().is_draining();
    entry.warmupLeft = Milliseconds(message.entry().warmup_left_ms());
    entry.incarnation = message.entry().incarnation();
    change.entry = std::move(entry);
    return change;
}

void encode(const FleetMember &member, wire::MemberMessage &message)
{
    message.set_name(member.name);
    message.set_address(member.peer.address);
    message.set_port(member.peer.port);
    message.set_availability_zone(member.availabilityZone);
}

FleetMember decode(const wire::MemberMessage &message)
{
    const Endpoint peer{message.address(), static_cast<std::uint16_t>(message.port())};
    return {message.name(), peer, message.availability_zone()};
}

std::uint64_t digestOf(const google::protobuf::MessageLite &message)
{
    const std::string bytes = message.SerializeAsString();
    return XXH64(bytes.data(), bytes.size(), 0);
}

} // namespace gwt
