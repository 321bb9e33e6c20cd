#pragma once

#include "common/Endpoint.h"
#include "common/Outcome.h"
#include "common/WorkerPool.h"

#include <vector>

namespace gwt {

/// \brief Runs \a pool until SIGTERM or SIGINT, for programs that aren't daemons of the fleet.
///
/// \a listeners are the results of opening the program's listeners; the first error is logged and
/// ends the program with exitFailure.
int runUntilStopped(WorkerPool &pool, const std::vector<Outcome<Endpoint>> &listeners);

} // namespace gwt
