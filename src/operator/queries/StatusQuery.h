#pragma once

#include "operator/OperatorContext.h"
#include "operator/OperatorReport.h"

namespace gwt {

/// \brief gwtctl status: lists each daemon with its state and generation, and the bookings of
/// unknown outcome.
///
/// The exit status is exitFailure if a daemon does not answer, is not ready, or has an older
/// generation than another.
OperatorReport runStatus(OperatorContext &context, const OperatorOptions &options);

} // namespace gwt
