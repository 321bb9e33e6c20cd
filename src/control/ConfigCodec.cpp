#include "control/ConfigCodec.h"

#include <config.pb.h>

#include <xxhash.h>

#include <array>
#include <cstdio>

namespace gwt {

namespace {

/// \brief Objects are hashed by name into buckets, one chunk each, so that a change of one object
/// rewrites only one small chunk.
constexpr std::uint64_t minBuckets = 8;
constexpr std::uint64_t objectsPerBucket = 128;

std::uint64_t bucketOf(const std::string &name, std::uint64_t buckets)
{
    return XXH3_64bits(name.data(), name.size()) % buckets;
}

std::uint64_t bucketCount(std::size_t objects)
{
    std::uint64_t buckets = minBuckets;
    while (buckets * objectsPerBucket < objects)
        buckets *= 2;
    return buckets;
}

void encode(const Place &from, wire::Place *to)
{
    to->set_name(from.name);
    to->set_region(from.region);
    to->set_availability_zone(from.availabilityZone);
}

void encode(const Service &from, wire::Service *to)
{
    to->set_name(from.name);
    to->set_index(from.index);
    to->set_slice(from.slice);
    to->set_deadline_ms(static_cast<std::uint64_t>(from.deadline.count()));
}

void encode(const BackendServer &from, wire::BackendServer *to)
{
    to->set_name(from.name);
    to->set_service(from.service);
    to->set_place(from.place);
    to->set_address(toString(from.address));
    to->set_slots(static_cast<std::uint32_t>(from.slots));
    to->set_connections(static_cast<std::uint32_t>(from.connections));
    to->set_connect_time_ms(static_cast<std::uint64_t>(from.connectTime.count()));
    to->set_draining(from.isDraining);
}

void encode(const Rank &from, wire::Rank *to)
{
    to->set_name(from.name);
    to->set_target_ms(static_cast<std::uint64_t>(from.target.count()));
    to->set_worth(from.worth);
    to->set_floor_share(from.floorShare);
    to->set_minimum_coverage(from.minimumCoverage);
    to->set_hedging(from.isHedged);
    to->set_background(from.isBackground);
}

Outcome<BackendServer> decode(const wire::BackendServer &from)
{
    const Outcome<Endpoint> address = parseEndpoint(from.address());
    if (!isOk(address))
        return errorOf(address);
    BackendServer server;
    server.name = from.name();
    server.service = from.service();
    server.place = from.place();
    server.address = valueOf(address);
    server.slots = static_cast<int>(from.slots());
    server.connections = static_cast<int>(from.connections());
    server.connectTime = Milliseconds(from.connect_time_ms());
    server.isDraining = from.draining();
    return server;
}

Service decode(const wire::Service &from)
{
    return {from.name(), from.index(), from.slice(), Milliseconds(from.deadline_ms())};
}

Rank decode(const wire::Rank &from)
{
    Rank rank;
    rank.name = from.name();
    rank.target = Milliseconds(from.target_ms());
    rank.worth = from.worth();
    rank.floorShare = from.floor_share();
    rank.minimumCoverage = from.minimum_coverage();
    rank.isHedged = from.hedging();
    rank.isBackground = from.background();
    return rank;
}

Place decode(const wire::Place &from)
{
    return {from.name(), from.region(), from.availability_zone()};
}

Outcome<wire::ConfigChunk> parseChunk(const std::string &content)
{
    wire::ConfigChunk chunk;
    if (!chunk.ParseFromString(content))
        return Error{ErrorCode::Malformed, "bad_chunk", "not a configuration chunk"};
    return chunk;
}

void collectNames(const wire::ConfigChunk &chunk, ChangedNames &names)
{
    for (const auto &place : chunk.places())
        names.places.insert(place.name());
    for (const auto &service : chunk.services())
        names.services.insert(service.name());
    for (const auto &server : chunk.backend_servers())
        names.backendServers.insert(server.name());
    for (const auto &rank : chunk.ranks())
        names.ranks.insert(rank.name());
}

/// \brief Stores \a object in \a objects unless an equal one is there already.
template <typename Object>
void storeObject(const Object &object, CopyOnWriteMap<Object> &objects,
                 std::set<std::string> &removedNames, std::set<std::string> &changed)
{
    removedNames.erase(object.name);
    const auto existing = objects.find(object.name);
    if (existing != objects.end() && existing->second == object)
        return;
    objects.insert_or_assign(object.name, object);
    changed.insert(object.name);
}

Outcome<Done> storeObjects(const wire::ConfigChunk &chunk, ConfigSet &set,
                           ChangedNames &removedNames, ChangedNames &changed)
{
    for (const auto &place : chunk.places())
        storeObject(decode(place), set.places, removedNames.places, changed.places);
    for (const auto &service : chunk.services())
        storeObject(decode(service), set.services, removedNames.services, changed.services);
    for (const auto &rank : chunk.ranks())
        storeObject(decode(rank), set.ranks, removedNames.ranks, changed.ranks);
    for (const auto &server : chunk.backend_servers()) {
        const Outcome<BackendServer> decoded = decode(server);
        if (!isOk(decoded))
            return Error{ErrorCode::Malformed, "bad_chunk", errorOf(decoded).detail};
        storeObject(valueOf(decoded), set.backendServers, removedNames.backendServers,
                    changed.backendServers);
    }
    return Done{};
}

template <typename Object>
void removeObjects(const std::set<std::string> &removedNames, CopyOnWriteMap<Object> &objects,
                   std::set<std::string> &changed)
{
    for (const std::string &name : removedNames) {
        if (objects.erase(name) > 0)
            changed.insert(name);
    }
}

} // namespace

std::string contentHash(const std::string &content)
{
    const XXH128_hash_t hash = XXH3_128bits(content.data(), content.size());
    std::array<char, 33> text{};
    std::snprintf(text.data(), text.size(), "%016llx%016llx",
                  static_cast<unsigned long long>(hash.high64),
                  static_cast<unsigned long long>(hash.low64));
    return text.data();
}

std::vector<ConfigChunk> encodeConfig(const ConfigSet &set)
{
    const std::uint64_t buckets = bucketCount(set.size());
    std::vector<wire::ConfigChunk> parts(buckets);
    for (const auto &[name, place] : set.places)
        encode(place, parts[bucketOf("place " + name, buckets)].add_places());
    for (const auto &[name, service] : set.services)
        encode(service, parts[bucketOf("service " + name, buckets)].add_services());
    for (const auto &[name, server] : set.backendServers)
        encode(server, parts[bucketOf("backend-server " + name, buckets)].add_backend_servers());
    for (const auto &[name, rank] : set.ranks)
        encode(rank, parts[bucketOf("rank " + name, buckets)].add_ranks());
    std::vector<ConfigChunk> chunks;
    for (const wire::ConfigChunk &part : parts) {
        std::string content = part.SerializeAsString();
        if (content.empty())
            continue;
        std::string hash = contentHash(content);
        chunks.push_back({std::move(hash), std::move(content)});
    }
    return chunks;
}

Outcome<Done> decodeChunk(const std::string &content, ConfigSet &set)
{
    const Outcome<ChangedNames> added = replaceChunks({}, {&content}, set);
    if (!isOk(added))
        return errorOf(added);
    return Done{};
}

Outcome<ChangedNames> replaceChunks(const std::vector<const std::string *> &removed,
                                    const std::vector<const std::string *> &added, ConfigSet &set)
{
    ChangedNames removedNames;
    for (const std::string *content : removed) {
        const Outcome<wire::ConfigChunk> chunk = parseChunk(*content);
        if (!isOk(chunk))
            return errorOf(chunk);
        collectNames(valueOf(chunk), removedNames);
    }
    ChangedNames changed;
    for (const std::string *content : added) {
        const Outcome<wire::ConfigChunk> chunk = parseChunk(*content);
        if (!isOk(chunk))
            return errorOf(chunk);
        const Outcome<Done> stored = storeObjects(valueOf(chunk), set, removedNames, changed);
        if (!isOk(stored))
            return errorOf(stored);
    }
    removeObjects(removedNames.places, set.places, changed.places);
    removeObjects(removedNames.services, set.services, changed.services);
    removeObjects(removedNames.backendServers, set.backendServers, changed.backendServers);
    removeObjects(removedNames.ranks, set.ranks, changed.ranks);
    return changed;
}

std::string encodeIndexVersion(const IndexVersion &version)
{
    wire::IndexVersion message;
    message.set_index(version.index);
    message.set_version(version.version);
    for (const std::string &service : version.services)
        message.add_services(service);
    return message.SerializeAsString();
}

Outcome<IndexVersion> decodeIndexVersion(const std::string &content)
{
    wire::IndexVersion message;
    if (!message.ParseFromString(content) || message.index().empty())
        return Error{ErrorCode::Malformed, "bad_index_version", ""};
    return IndexVersion{
        message.index(), message.version(), {message.services().begin(), message.services().end()}};
}

} // namespace gwt
