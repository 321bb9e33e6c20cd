#pragma once

#include "control/ConfigSet.h"

#include <string>
#include <vector>

namespace gwt {

/// \brief Describes the effects of replacing \a before by \a after, one sentence each:
/// slices that come, go or change their zone and thereby their relays, services that change their
/// slice, backend servers that change their service or are told to drain, and the slots of an
/// index.
std::vector<std::string> describeImpact(const Config &before, const Config &after);

/// \brief Returns warnings about valid but probably unintended configurations: services with no or
/// only one backend server that isn't draining.
std::vector<std::string> warningsOf(const Config &config);

} // namespace gwt
