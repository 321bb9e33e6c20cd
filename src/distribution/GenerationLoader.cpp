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

Task<Outcome<Content>> fetchContent(ConfigSource &source, std::string key, std::string hash,
                                    VerifiedGenerationPtr current, TimePoint deadline)
{
    if (current) {
        const auto found = current->contents.find(key);
        if (found != current->contents.end())
            co_return found->second;
    }
    Outcome<std::string> content = co_await source.content(key, deadline);
    if (!isOk(content))
        co_return errorOf(content);
    if (contentHash(valueOf(content)) != hash)
        co_return malformed(key);
    co_return std::make_shared<const std::string>(std::move(valueOf(content)));
}

/// \brief Returns the chunks of \a from that \a other lacks.
std::vector<const std::string *> chunkDifference(const VerifiedGeneration &from,
                                                 const VerifiedGeneration &other)
{
    std::vector<const std::string *> chunks;
    for (const auto &[key, content] : from.contents) {
        if (key.rfind(chunkPrefix, 0) == 0 && !other.contents.count(key))
            chunks.push_back(content.get());
    }
    return chunks;
}

/// \brief Builds the configuration of \a loaded, which shares its unchanged parts with \a current.
Outcome<ConfigPtr> buildConfig(std::uint64_t generation, const VerifiedGeneration &loaded,
                               const VerifiedGeneration &current)
{
    ConfigSet set = current.config->set();
    const Outcome<ChangedNames> changed
        = replaceChunks(chunkDifference(current, loaded), chunkDifference(loaded, current), set);
    if (!isOk(changed))
        return errorOf(changed);
    auto config = std::make_shared<const Config>(generation, std::move(set), *current.config,
                                                 valueOf(changed));
    if (current.config->generation() > 0
        && isValidChange(*current.config, *config, valueOf(changed)))
        return ConfigPtr(std::move(config));
    const std::vector<ConfigFault> faults = checkConfig(config->set(), {});
    if (!faults.empty())
        return malformed(toString(faults.front()));
    return ConfigPtr(std::move(config));
}

} // namespace

Task<Outcome<VerifiedGenerationPtr>> loadGeneration(ConfigSource &source, SourceHead head,
                                                    VerifiedGenerationPtr current,
                                                    TimePoint deadline)
{
    auto loaded = std::make_shared<VerifiedGeneration>();
    loaded->manifestHash = head.manifestHash;
    const std::string key = manifestKey(head.manifestHash);
    const Outcome<Content> stored
        = co_await fetchContent(source, key, head.manifestHash, current, deadline);
    if (!isOk(stored))
        co_return errorOf(stored);
    loaded->contents[key] = valueOf(stored);
    const Outcome<GenerationInfo> manifest = decodeManifest(*valueOf(stored), head.manifestHash);
    if (!isOk(manifest) || valueOf(manifest).generation != head.generation)
        co_return malformed(key);
    std::vector<std::string> chunks = valueOf(manifest).chunkHashes;
    for (const std::string &hash : valueOf(manifest).pageHashes) {
        const std::string name = pageKey(hash);
        const Outcome<Content> page = co_await fetchContent(source, name, hash, current, deadline);
        if (!isOk(page))
            co_return errorOf(page);
        loaded->contents[name] = valueOf(page);
        const Outcome<Done> listed = decodePage(*valueOf(page), chunks);
        if (!isOk(listed))
            co_return errorOf(listed);
    }
    for (const std::string &hash : chunks) {
        const std::string name = chunkKey(hash);
        const Outcome<Content> chunk = co_await fetchContent(source, name, hash, current, deadline);
        if (!isOk(chunk))
            co_return errorOf(chunk);
        loaded->contents[name] = valueOf(chunk);
    }
    const VerifiedGeneration emptyGeneration{std::make_shared<const Config>(), {}, {}};
    Outcome<ConfigPtr> config
        = buildConfig(head.generation, *loaded, current ? *current : emptyGeneration);
    if (!isOk(config))
        co_return errorOf(config);
    loaded->config = std::move(valueOf(config));
    co_return loaded;
}

} // namespace gwt
