#pragma once

#include "load/LoadOptions.h"
#include "load/StreamReport.h"

#include <optional>
#include <string>
#include <vector>

namespace gwt {

/// \brief Load on the backend servers, as they counted it.
struct BackendLoad
{
    std::uint64_t started = 0; ///< searches that took a slot
    std::uint64_t needed = 0; ///< shards that the answers covered

    /// \brief Returns the ratio of searches beyond the needed ones to the needed ones.
    double extraShare() const;
};

/// \brief Formats the reports as a text table.
std::string toTable(const std::vector<StreamReport> &reports);

/// \brief Formats the run as JSON: totals, windows and per-second figures of each stream.
std::string toJson(const LoadOptions &options, const std::vector<StreamReport> &reports,
                   const std::optional<BackendLoad> &backend,
                   const std::vector<std::string> &violations);

/// \brief Formats one line per window and stream, for scripts: window, stream, sent, answered, in
/// target, complete, refused, failed, coverage in percent, p50, p99 and p99.9 in milliseconds,
/// shards, hedges and retries.
std::string toSummaryLines(const LoadOptions &options, const std::vector<StreamReport> &reports);

} // namespace gwt
