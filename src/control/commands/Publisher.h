#pragma once

#include "control/ConfigSet.h"
#include "control/queries/ConfigReader.h"
#include "platform/RetryingStore.h"

#include <string>

namespace gwt {

/// \brief Author and note of a publish, for the history, and the generation that it is based on.
struct PublishInfo
{
    std::string author;
    std::string note;
    std::uint64_t baseGeneration = 0; ///< 0: the current head
};

/// \brief Publishes complete, validated sets to the object store.
///
/// Chunks and the manifest are written first; one conditional update of the head makes them the
/// new generation. Readers start at the head, so they never see a partial write. All calls that
/// fail with a transient error are retried until the deadline, including the first read.
class Publisher
{
public:
    explicit Publisher(ObjectStore &store);

    /// \brief Publishes \a set as the generation after the current one and returns its number.
    ///
    /// The change is the difference of \a set from the base generation. If another publisher
    /// updated the head, the change is applied to the new head, validated and published again;
    /// an object that both changed in different ways is refused. Errors: InvalidArgument
    /// "set_has_faults"; Conflict "object_changed_meanwhile"; NotFound "no_such_generation" for
    /// the base; Unavailable, Timeout (the outcome is unknown: publishing the same set again is
    /// safe).
    Task<Outcome<std::uint64_t>> publish(ConfigSet set, PublishInfo info, TimePoint deadline);

private:
    struct Head;

    Task<Outcome<Head>> readHead(TimePoint deadline);
    Task<Outcome<std::uint64_t>> tryPublish(ConfigSet set, Head head, PublishInfo info,
                                            TimePoint deadline);
    Task<Outcome<ConfigSet>> rebase(ConfigSet wanted, GenerationInfo base, GenerationInfo head,
                                    TimePoint deadline);
    Task<Outcome<std::string>> writeManifest(ConfigSet set, GenerationInfo parent, PublishInfo info,
                                             TimePoint deadline);
    Task<Outcome<Done>> putImmutable(std::string key, std::string value, TimePoint deadline);
    Task<Outcome<std::uint64_t>> resolveOutcome(std::string publishId, std::uint64_t generation,
                                                TimePoint deadline);

    RetryingStore m_store;
    ConfigReader m_reader;
};

} // namespace gwt
