#pragma once

#include "common/Outcome.h"
#include "control/ConfigSet.h"

#include <string>
#include <vector>

namespace gwt {

/// \brief Maximum size of one stored chunk of a configuration, in bytes.
inline constexpr std::size_t maxChunkBytes = 256U * 1024U;

/// \brief A serialized part of a set, addressed by the hash of its content.
struct ConfigChunk
{
    std::string hash;
    std::string content;
};

/// \brief Returns the 128-bit XXH3 hash of \a content in hexadecimal.
std::string contentHash(const std::string &content);

/// \brief Serializes \a set into chunks. The encoding is deterministic, so that unchanged parts of
/// two generations share their chunks.
std::vector<ConfigChunk> encodeConfig(const ConfigSet &set);

/// \brief Adds the objects of one chunk to \a set. Errors: Malformed.
Outcome<Done> decodeChunk(const std::string &content, ConfigSet &set);
/// \brief Replaces the chunks \a removed by the chunks \a added in \a set.
///
/// Objects that are equal in both are left in place, so that \a set still shares them with the set
/// that it was copied from. Returns the names of all other objects. Errors: Malformed.
Outcome<ChangedNames> replaceChunks(const std::vector<const std::string *> &removed,
                                    const std::vector<const std::string *> &added, ConfigSet &set);

/// \brief Serializes \a version.
std::string encodeIndexVersion(const IndexVersion &version);
/// \brief Parses a serialized IndexVersion. Errors: Malformed.
Outcome<IndexVersion> decodeIndexVersion(const std::string &content);

} // namespace gwt
