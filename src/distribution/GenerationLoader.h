#pragma once

#include "distribution/ConfigSource.h"
#include "distribution/VerifiedConfig.h"

namespace gwt {

/// \brief Loads the generation of \a head from \a source and verifies all of it: the hash of the
/// manifest and of each chunk, the generation's number, and the configuration set itself.
///
/// Contents that \a current already contains are not fetched again; it may be null. \a source
/// must outlive the task. Errors: Malformed, those of the source.
Task<Outcome<VerifiedGenerationPtr>> loadGeneration(ConfigSource &source, SourceHead head,
                                                    VerifiedGenerationPtr current,
                                                    TimePoint deadline);

} // namespace gwt
