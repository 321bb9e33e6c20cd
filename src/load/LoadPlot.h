#pragma once

#include "load/LoadOptions.h"
#include "load/StreamReport.h"

#include <string>
#include <vector>

namespace gwt {

/// \brief Plots a run as SVG: p99 latency of each stream over time on a logarithmic scale, and
/// below it the coverage of the answers. Both mark the timed faults.
std::string toSvg(const LoadOptions &options, const std::vector<StreamReport> &reports);

} // namespace gwt
