#include "distribution/GenerationLoader.h"

#include "control/ConfigChecker.h"
#include "control/ConfigCodec.h"
#include "control/ConfigKeys.h"
#include "control/ManifestCodec.h"

namespace gwt {

namespace {

using Content = std::shared_ptr<const std::string>;

const std::string chunkPrefix = chunkKey("");

Error malformed(const std::string &detail)
{
    return {ErrorCode::Malformed, "bad_configuration", detail};
}

Task<Outcome<Content>> obtain(ConfigSource &source, std::string key, std::string hash,
                              HeldGenerationPtr held, TimePoint deadline)
{
    if (held) {
        const auto known = held->contents.find(key);
        if (known != held->contents.end())
            co_return known->second;
    }
    Outcome<std::string> content = co_await source.content(key, deadline);
    if (!isOk(content))
        co_return errorOf(content);
    if (contentHash(valueOf(content)) != hash)
        co_return malformed(key);
    co_return std::make_shared<const std::string>(std::move(valueOf(content)));
}

/// \brief The chunks of \a from that \a other lacks.
std::vector<const std::string *> chunksWithout(const HeldGeneration &from,
                                               const HeldGeneration &other)
{
    std::vector<const std::string *> chunks;
    for (const auto &[key, content] : from.contents) {
        if (key.rfind(chunkPrefix, 0) == 0 && !other.contents.count(key))
            chunks.push_back(content.get());
    }
    return chunks;
}

/// \brief The configuration of \a loaded, which shares what did not change with that of \a held.
Outcome<ConfigPtr> buildConfig(std::uint64_t generation, const HeldGeneration &loaded,
                               const HeldGeneration &held)
{
    ConfigSet set = held.config->set();
    const Outcome<ChangedNames> changed
        = replaceChunks(chunksWithout(held, loaded), chunksWithout(loaded, held), set);
    if (!isOk(changed))
        return errorOf(changed);
    auto config = std::make_shared<const Config>(generation, std::move(set), *held.config,
                                                 valueOf(changed));
    if (held.config->generation() > 0 && isValidChange(*held.config, *config, valueOf(changed)))
        return ConfigPtr(std::move(config));
    const std::vector<ConfigFault> faults = checkConfig(config->set(), {});
    if (!faults.empty())
        return malformed(toString(faults.front()));
    return ConfigPtr(std::move(config));
}

} // namespace

Task<Outcome<HeldGenerationPtr>> loadGeneration(ConfigSource &source, SourceHead head,
                                                HeldGenerationPtr held, TimePoint deadline)
{
    auto loaded = std::make_shared<HeldGeneration>();
    loaded->manifestHash = head.manifestHash;
    const std::string key = manifestKey(head.manifestHash);
    const Outcome<Content> stored = co_await obtain(source, key, head.manifestHash, held, deadline);
    if (!isOk(stored))
        co_return errorOf(stored);
    loaded->contents[key] = valueOf(stored);
    const Outcome<GenerationInfo> manifest = decodeManifest(*valueOf(stored), head.manifestHash);
    if (!isOk(manifest) || valueOf(manifest).generation != head.generation)
        co_return malformed(key);
    std::vector<std::string> chunks = valueOf(manifest).chunkHashes;
    for (const std::string &hash : valueOf(manifest).pageHashes) {
        const std::string name = pageKey(hash);
        const Outcome<Content> page = co_await obtain(source, name, hash, held, deadline);
        if (!isOk(page))
            co_return errorOf(page);
        loaded->contents[name] = valueOf(page);
        const Outcome<Done> listed = decodePage(*valueOf(page), chunks);
        if (!isOk(listed))
            co_return errorOf(listed);
    }
    for (const std::string &hash : chunks) {
        const std::string name = chunkKey(hash);
        const Outcome<Content> chunk = co_await obtain(source, name, hash, held, deadline);
        if (!isOk(chunk))
            co_return errorOf(chunk);
        loaded->contents[name] = valueOf(chunk);
    }
    const HeldGeneration nothing{std::make_shared<const Config>(), {}, {}};
    Outcome<ConfigPtr> config = buildConfig(head.generation, *loaded, held ? *held : nothing);
    if (!isOk(config))
        co_return errorOf(config);
    loaded->config = std::move(valueOf(config));
    co_return loaded;
}

} // namespace gwt
