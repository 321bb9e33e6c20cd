#pragma once

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gwt {

/// \brief SHA-256 digest of an API key.
using KeyDigest = std::array<unsigned char, 32>;

/// \brief Returns the digest of \a key. Keys are held as digests only, so that no log, status page
/// or message between processes can reveal one.
KeyDigest digestOfKey(std::string_view key);

/// \brief Limit on the requests of a team, summed over all processes.
struct TeamQuota
{
    double ratePerSecond = 0; ///< requests per second; 0: no limit
    double burst = 0; ///< requests beyond the rate after an idle period

    bool isLimited() const { return ratePerSecond > 0; }
    bool operator==(const TeamQuota &) const = default;
};

/// \brief A group of callers that share API keys, a rank and a quota.
struct Team
{
    std::string name;
    std::vector<KeyDigest> keys;
    std::optional<int> rank; ///< goes before the rank of the route
    TeamQuota quota;
};

} // namespace gwt
