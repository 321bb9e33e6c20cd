#pragma once

#include "common/Outcome.h"
#include "common/Task.h"
#include "common/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace gwt {

/// \brief Version of an object; increases with each change. 0 means that it does not exist.
using ObjectVersion = std::uint64_t;

/// \brief A value and the version that was read.
struct StoredObject
{
    std::string value;
    ObjectVersion version = 0;
};

/// \brief Key and version of a listed or changed object; version 0 for a removed one.
struct ObjectInfo
{
    std::string key;
    ObjectVersion version = 0;
};

/// \brief All changes after the watched revision of the store, up to and including \c revision.
struct WatchResult
{
    std::uint64_t revision = 0;
    std::vector<ObjectInfo> changes;
};

/// \brief The platform's object store. Implementations are thread-safe.
///
/// Errors of all calls: Unavailable (definitely without effect), Unknown or Timeout (a write may
/// have taken effect or may still do so), Overloaded (rate limit; without effect), Malformed.
class ObjectStore
{
public:
    virtual ~ObjectStore() = default;

    /// \brief Reads \a key. Errors besides the common ones: NotFound.
    virtual Task<Outcome<StoredObject>> get(std::string key, TimePoint deadline) = 0;
    /// \brief Writes \a key if its version is \a expected (0: if it does not exist).
    ///
    /// Returns the new version. Errors besides the common ones: Conflict (no effect).
    virtual Task<Outcome<ObjectVersion>> put(std::string key, std::string value,
                                             ObjectVersion expected, TimePoint deadline)
        = 0;
    /// \brief Removes \a key if its version is \a expected.
    virtual Task<Outcome<Done>> remove(std::string key, ObjectVersion expected, TimePoint deadline)
        = 0;
    /// \brief Lists the objects whose key starts with \a prefix, in order of key.
    virtual Task<Outcome<std::vector<ObjectInfo>>> list(std::string prefix, TimePoint deadline) = 0;
    /// \brief Waits for a change under \a prefix after \a revision; returns no changes when
    /// \a deadline passes.
    virtual Task<Outcome<WatchResult>> watch(std::string prefix, std::uint64_t revision,
                                             TimePoint deadline)
        = 0;
};

} // namespace gwt
