#pragma once

#include "operator/OperatorContext.h"
#include "operator/OperatorReport.h"

namespace gwt {

/// \brief gwtctl explain request ID: the entry and relays that handled a recent search, its
/// coverage, and why shards are missing from its result.
OperatorReport explainRequest(OperatorContext &context, const OperatorOptions &options,
                              const std::string &requestId);

} // namespace gwt
