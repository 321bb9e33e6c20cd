#pragma once

#include "platform/PlatformAccess.h"

namespace gwt {

/// \brief Runs gwtctl with its command line and returns the exit status.
///
/// Exit status: 0 done; 1 refused, failed, or not in force everywhere; 2 bad usage.
int runOperator(int argc, char **argv, const PlatformFactory &connectPlatform);

} // namespace gwt
