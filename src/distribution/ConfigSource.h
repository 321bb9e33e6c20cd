#pragma once

#include "common/Outcome.h"
#include "common/Task.h"
#include "common/Time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace gwt {

/// \brief Newest configuration that a source holds.
struct SourceHead
{
    std::uint64_t generation = 0; ///< 0: none yet
    std::string manifestHash;
    std::uint64_t indexRevision = 0; ///< 0: unknown
    std::string indexDigest;
    /// \brief Staleness: time since the source was last known to be up to date with the store;
    /// empty if it never was.
    std::optional<Milliseconds> storeAge;
};

/// \brief Source to read a generation from: the object store or a peer.
class ConfigSource
{
public:
    virtual ~ConfigSource() = default;

    virtual Task<Outcome<SourceHead>> head(TimePoint deadline) = 0;
    /// \brief Fetches the manifest or chunk stored under \a key, unverified. Errors: NotFound.
    virtual Task<Outcome<std::string>> content(std::string key, TimePoint deadline) = 0;
};

} // namespace gwt
