#pragma once

#include "control/ConfigSet.h"

#include <string>
#include <vector>

namespace gwt {

/// \brief Describes the effects of replacing \a before by \a after, one sentence each: slices that
/// are added, removed or change their availability zone and thereby their relays, services that
/// change their slice or index, backend servers that change their service or draining state, and
/// indexes whose number of slots changes.
std::vector<std::string> describeImpact(const Config &before, const Config &after);

/// \brief Returns warnings about valid but probably unintended configurations: services with no or
/// only one backend server that isn't draining.
std::vector<std::string> warningsOf(const Config &config);

} // namespace gwt
