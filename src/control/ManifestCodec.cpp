#include "control/ManifestCodec.h"

#include "control/ConfigKeys.h"

#include <config.pb.h>

namespace gwt {

namespace {

constexpr std::size_t chunksPerPage = 32;
constexpr std::size_t maxChunksWithoutPages = 64;

Error malformed(const std::string &key)
{
    return {ErrorCode::Malformed, "bad_configuration", key};
}

} // namespace

std::string encodeManifest(const GenerationInfo &info)
{
    wire::Manifest manifest;
    manifest.set_generation(info.generation);
    manifest.set_author(info.author);
    manifest.set_note(info.note);
    manifest.set_time_ms(info.timeMs);
    manifest.set_parent_hash(info.parentHash);
    for (const std::string &hash : info.chunkHashes)
        manifest.add_chunks()->set_hash(hash);
    for (const std::string &hash : info.pageHashes)
        manifest.add_pages(hash);
    return manifest.SerializeAsString();
}

Outcome<GenerationInfo> decodeManifest(const std::string &content, const std::string &hash)
{
    wire::Manifest manifest;
    if (contentHash(content) != hash || !manifest.ParseFromString(content))
        return malformed(manifestKey(hash));
    GenerationInfo info;
    info.generation = manifest.generation();
    info.manifestHash = hash;
    info.parentHash = manifest.parent_hash();
    info.author = manifest.author();
    info.note = manifest.note();
    info.timeMs = manifest.time_ms();
    for (const wire::ChunkRef &ref : manifest.chunks())
        info.chunkHashes.push_back(ref.hash());
    info.pageHashes.assign(manifest.pages().begin(), manifest.pages().end());
    return info;
}

std::vector<ConfigChunk> splitIntoPages(GenerationInfo &info)
{
    if (info.chunkHashes.size() <= maxChunksWithoutPages)
        return {};
    std::vector<ConfigChunk> pages;
    for (std::size_t first = 0; first < info.chunkHashes.size(); first += chunksPerPage) {
        const std::size_t end = std::min(first + chunksPerPage, info.chunkHashes.size());
        wire::ManifestPage page;
        for (std::size_t i = first; i < end; ++i)
            page.add_chunks(info.chunkHashes[i]);
        std::string content = page.SerializeAsString();
        std::string hash = contentHash(content);
        info.pageHashes.push_back(hash);
        pages.push_back({std::move(hash), std::move(content)});
    }
    info.chunkHashes.clear();
    return pages;
}

Outcome<Done> decodePage(const std::string &content, std::vector<std::string> &hashes)
{
    wire::ManifestPage page;
    if (!page.ParseFromString(content))
        return malformed("not a page of a manifest");
    hashes.insert(hashes.end(), page.chunks().begin(), page.chunks().end());
    return Done{};
}

} // namespace gwt
