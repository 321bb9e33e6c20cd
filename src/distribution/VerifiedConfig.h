#pragma once

#include "control/ConfigHolder.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace gwt {

/// \brief Verified generation, with its serialized parts to serve to peers. Immutable once built.
struct VerifiedGeneration
{
    ConfigPtr config;
    std::string manifestHash;
    /// \brief Manifest, pages and chunks by key in the object store.
    std::map<std::string, std::shared_ptr<const std::string>> contents;
};

/// \brief All index versions at one revision of the store. Immutable once built.
struct IndexSnapshot
{
    std::uint64_t revision = 0; ///< 0: none read yet
    std::vector<IndexVersion> versions;
    std::string digest;
};

using VerifiedGenerationPtr = std::shared_ptr<const VerifiedGeneration>;
using IndexSnapshotPtr = std::shared_ptr<const IndexSnapshot>;

/// \brief Returns a digest of \a versions that is equal for equal lists.
std::string indexDigest(const std::vector<IndexVersion> &versions);

} // namespace gwt
