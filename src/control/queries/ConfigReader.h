#pragma once

#include "control/ConfigSet.h"
#include "control/ManifestCodec.h"
#include "platform/ObjectStore.h"

#include <memory>
#include <vector>

namespace gwt {

/// \brief Reads published generations from the object store and verifies their hashes and objects.
class ConfigReader
{
public:
    explicit ConfigReader(ObjectStore &store);

    /// \brief Loads the generation that the head refers to. Errors: NotFound if nothing has been
    /// published yet, Malformed if a hash does not match or the set has faults, those of
    /// ObjectStore.
    Task<Outcome<std::shared_ptr<const Config>>> current(TimePoint deadline);
    /// \brief Loads the objects of \a info. Errors: those of current().
    Task<Outcome<std::shared_ptr<const Config>>> load(GenerationInfo info, TimePoint deadline);

    /// \brief Reads the manifest that the head refers to. Errors: those of current().
    Task<Outcome<GenerationInfo>> readHeadManifest(TimePoint deadline);
    /// \brief Reads the manifest with \a hash. Errors: those of current().
    Task<Outcome<GenerationInfo>> readManifest(std::string hash, TimePoint deadline);
    /// \brief Returns the hashes of all chunks of \a info. Errors: those of current().
    Task<Outcome<std::vector<std::string>>> chunkHashes(GenerationInfo info, TimePoint deadline);
    /// \brief Returns up to \a count generations, newest first. Errors: those of current().
    Task<Outcome<std::vector<GenerationInfo>>> history(std::size_t count, TimePoint deadline);
    /// \brief Finds a published generation by its number. Errors: NotFound "no_such_generation",
    /// those of current().
    Task<Outcome<GenerationInfo>> find(std::uint64_t generation, TimePoint deadline);

    /// \brief Reads all index versions in the store. Errors: those of ObjectStore, Malformed.
    Task<Outcome<std::vector<IndexVersion>>> indexVersions(TimePoint deadline);

private:
    Task<Outcome<std::string>> readVerified(std::string key, std::string hash, TimePoint deadline);

    ObjectStore &m_store;
};

} // namespace gwt
