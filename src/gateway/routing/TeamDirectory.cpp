#include "gateway/routing/TeamDirectory.h"

#include <boost/beast/core/string.hpp>

#include <cstring>

namespace gwt {

namespace {

constexpr std::string_view bearerScheme = "Bearer";
constexpr std::string_view blanks = " \t";

} // namespace

std::size_t TeamDirectory::DigestHash::operator()(const KeyDigest &digest) const
{
    std::size_t hash = 0;
    std::memcpy(&hash, digest.data(), sizeof(hash));
    return hash;
}

TeamDirectory::TeamDirectory(const std::vector<Team> &teams)
{
    for (const Team &team : teams) {
        for (const KeyDigest &key : team.keys)
            m_teamsByKey.emplace(key, &team);
    }
}

const Team *TeamDirectory::find(std::string_view key) const
{
    if (m_teamsByKey.empty() || key.empty())
        return nullptr;
    const auto found = m_teamsByKey.find(digestOfKey(key));
    return found == m_teamsByKey.end() ? nullptr : found->second;
}

std::string_view bearerToken(std::string_view authorization)
{
    const std::string_view scheme = authorization.substr(0, bearerScheme.size());
    if (!boost::beast::iequals({scheme.data(), scheme.size()},
                               {bearerScheme.data(), bearerScheme.size()}))
        return {};
    const std::string_view rest = authorization.substr(scheme.size());
    const std::size_t first = rest.find_first_not_of(blanks);
    if (first == 0 || first == std::string_view::npos)
        return {};
    return rest.substr(first, rest.find_last_not_of(blanks) + 1 - first);
}

} // namespace gwt
