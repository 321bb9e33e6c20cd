#include "control/queries/ConfigReader.h"

#include "control/ConfigChecker.h"
#include "control/ConfigCodec.h"
#include "control/ConfigKeys.h"

#include <config.pb.h>

namespace gwt {

namespace {

Error malformed(const std::string &detail)
{
    return {ErrorCode::Malformed, "bad_configuration", detail};
}

} // namespace

ConfigReader::ConfigReader(ObjectStore &store)
    : m_store(store)
{ }

Task<Outcome<GenerationInfo>> ConfigReader::readHeadManifest(TimePoint deadline)
{
    const Outcome<StoredObject> stored = co_await m_store.get(configHeadKey, deadline);
    if (!isOk(stored))
        co_return errorOf(stored);
    wire::ConfigHead head;
    if (!head.ParseFromString(valueOf(stored).value))
        co_return malformed(configHeadKey);
    co_return co_await readManifest(head.manifest_hash(), deadline);
}

Task<Outcome<std::string>> ConfigReader::readVerified(std::string key, std::string hash,
                                                      TimePoint deadline)
{
    Outcome<StoredObject> stored = co_await m_store.get(key, deadline);
    if (!isOk(stored))
        co_return errorOf(stored);
    if (contentHash(valueOf(stored).value) != hash)
        co_return malformed(key);
    co_return std::move(valueOf(stored).value);
}

Task<Outcome<GenerationInfo>> ConfigReader::readManifest(std::string hash, TimePoint deadline)
{
    const Outcome<std::string> manifest = co_await readVerified(manifestKey(hash), hash, deadline);
    if (!isOk(manifest))
        co_return errorOf(manifest);
    co_return decodeManifest(valueOf(manifest), hash);
}

Task<Outcome<std::vector<std::string>>> ConfigReader::chunkHashes(GenerationInfo info,
                                                                  TimePoint deadline)
{
    std::vector<std::string> hashes = std::move(info.chunkHashes);
    for (const std::string &hash : info.pageHashes) {
        const Outcome<std::string> page = co_await readVerified(pageKey(hash), hash, deadline);
        if (!isOk(page))
            co_return errorOf(page);
        const Outcome<Done> decoded = decodePage(valueOf(page), hashes);
        if (!isOk(decoded))
            co_return errorOf(decoded);
    }
    co_return hashes;
}

Task<Outcome<std::shared_ptr<const Config>>> ConfigReader::load(GenerationInfo info,
                                                                TimePoint deadline)
{
    const Outcome<std::vector<std::string>> hashes = co_await chunkHashes(info, deadline);
    if (!isOk(hashes))
        co_return errorOf(hashes);
    ConfigSet set;
    for (const std::string &hash : valueOf(hashes)) {
        const Outcome<std::string> chunk = co_await readVerified(chunkKey(hash), hash, deadline);
        if (!isOk(chunk))
            co_return errorOf(chunk);
        const Outcome<Done> decoded = decodeChunk(valueOf(chunk), set);
        if (!isOk(decoded))
            co_return errorOf(decoded);
    }
    const std::vector<ConfigFault> faults = checkConfig(set, {});
    if (!faults.empty())
        co_return malformed(toString(faults.front()));
    co_return std::make_shared<const Config>(info.generation, std::move(set));
}

Task<Outcome<std::shared_ptr<const Config>>> ConfigReader::current(TimePoint deadline)
{
    const Outcome<GenerationInfo> head = co_await readHeadManifest(deadline);
    if (!isOk(head))
        co_return errorOf(head);
    co_return co_await load(valueOf(head), deadline);
}

Task<Outcome<std::vector<GenerationInfo>>> ConfigReader::history(std::size_t count,
                                                                 TimePoint deadline)
{
    std::vector<GenerationInfo> generations;
    Outcome<GenerationInfo> next = co_await readHeadManifest(deadline);
    while (isOk(next)) {
        const std::string parent = valueOf(next).parentHash;
        generations.push_back(std::move(valueOf(next)));
        if (parent.empty() || generations.size() >= count)
            co_return generations;
        next = co_await readManifest(parent, deadline);
    }
    co_return errorOf(next);
}

Task<Outcome<GenerationInfo>> ConfigReader::find(std::uint64_t generation, TimePoint deadline)
{
    Outcome<GenerationInfo> next = co_await readHeadManifest(deadline);
    while (isOk(next) && valueOf(next).generation > generation
           && !valueOf(next).parentHash.empty()) {
        const std::string parent = valueOf(next).parentHash;
        next = co_await readManifest(parent, deadline);
    }
    if (isOk(next) && valueOf(next).generation != generation) {
        co_return Error(ErrorCode::NotFound, "no_such_generation",
                        "generation " + std::to_string(generation) + " was never published");
    }
    co_return next;
}

Task<Outcome<std::vector<IndexVersion>>> ConfigReader::indexVersions(TimePoint deadline)
{
    const Outcome<std::vector<ObjectInfo>> listed = co_await m_store.list(indexPrefix, deadline);
    if (!isOk(listed))
        co_return errorOf(listed);
    std::vector<IndexVersion> versions;
    for (const ObjectInfo &info : valueOf(listed)) {
        const Outcome<StoredObject> stored = co_await m_store.get(info.key, deadline);
        if (!isOk(stored) && errorOf(stored).code == ErrorCode::NotFound)
            continue;
        if (!isOk(stored))
            co_return errorOf(stored);
        Outcome<IndexVersion> version = decodeIndexVersion(valueOf(stored).value);
        if (!isOk(version))
            co_return errorOf(version);
        versions.push_back(std::move(valueOf(version)));
    }
    co_return versions;
}

} // namespace gwt
