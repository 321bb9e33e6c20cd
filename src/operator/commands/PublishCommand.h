#pragma once

#include "operator/OperatorContext.h"
#include "operator/OperatorReport.h"

namespace gwt {

/// \brief gwtctl publish DIR: publishes the set and waits until it is in force on every live host.
///
/// When --wait has passed, lists the daemons on which it is not in force. The exit status is then
/// exitFailure, although the generation is published.
OperatorReport runPublish(OperatorContext &context, const OperatorOptions &options);
/// \brief gwtctl rollback GENERATION: publishes that generation's set as a new generation.
OperatorReport runRollback(OperatorContext &context, const OperatorOptions &options);

} // namespace gwt
