#pragma once

#include <cstdint>
#include <string>

namespace gwt {

/// \brief Keys and key prefixes of the configuration in the object store.
inline const std::string configHeadKey = "config/head";
inline const std::string configPrefix = "config/";
inline const std::string indexPrefix = "indexes/";

inline std::string chunkKey(const std::string &hash)
{
    return "config/chunks/" + hash;
}

inline std::string pageKey(const std::string &hash)
{
    return "config/pages/" + hash;
}

inline std::string manifestKey(const std::string &hash)
{
    return "config/manifests/" + hash;
}

inline std::string indexVersionKey(const std::string &index, std::uint64_t version)
{
    return "indexes/" + index + "/" + std::to_string(version);
}

} // namespace gwt
