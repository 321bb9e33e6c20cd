#pragma once

#include "common/Outcome.h"
#include "control/ConfigCodec.h"

#include <string>
#include <vector>

namespace gwt {

/// \brief Metadata of one published generation, without its objects.
struct GenerationInfo
{
    std::uint64_t generation = 0; ///< 0: nothing has been published yet
    std::string manifestHash;
    std::string parentHash; ///< manifest of the previous generation; empty for the first
    std::string author;
    std::string note;
    std::uint64_t timeMs = 0; ///< milliseconds since the Unix epoch, by the publisher's clock
    std::vector<std::string> chunkHashes; ///< all chunks of a small set; empty for a large one
    std::vector<std::string> pageHashes; ///< pages that list the chunks of a large set
};

/// \brief Serializes \a info as a manifest.
std::string encodeManifest(const GenerationInfo &info);
/// \brief Parses the manifest stored under \a hash. Errors: Malformed, also if the content does not
/// match the hash.
Outcome<GenerationInfo> decodeManifest(const std::string &content, const std::string &hash);

/// \brief Moves the chunk hashes of a large set from \a info into pages, so that a change of one
/// object rewrites one small page instead of one long list. Returns no pages for a small set.
std::vector<ConfigChunk> splitIntoPages(GenerationInfo &info);
/// \brief Parses a page and appends its chunk hashes to \a hashes. Errors: Malformed.
Outcome<Done> decodePage(const std::string &content, std::vector<std::string> &hashes);

} // namespace gwt
