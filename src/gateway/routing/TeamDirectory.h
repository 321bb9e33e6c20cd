#pragma once

#include "gateway/routing/Team.h"

#include <cstdint>
#include <unordered_map>

namespace gwt {

/// \brief Finds the team that holds an API key.
///
/// The lookup compares digests, so its duration reveals nothing about the keys. If several teams
/// hold a key, it belongs to the first one.
class TeamDirectory
{
public:
    /// \brief \a teams must outlive the directory.
    explicit TeamDirectory(const std::vector<Team> &teams);

    /// \brief Returns the team that holds \a key; null if there is none.
    const Team *find(std::string_view key) const;

private:
    struct DigestHash
    {
        std::size_t operator()(const KeyDigest &digest) const;
    };

    std::unordered_map<KeyDigest, const Team *, DigestHash> m_teamsByKey;
};

/// \brief Returns the key in \a authorization, the value of an Authorization field; empty if it
/// is no bearer token.
std::string_view bearerToken(std::string_view authorization);

} // namespace gwt
