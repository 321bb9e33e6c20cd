#pragma once

#include "operator/OperatorContext.h"
#include "operator/OperatorReport.h"

namespace gwt {

/// \brief gwtctl backends: the backend servers of a service as each gateway sees them.
OperatorReport runBackends(OperatorContext &context, const OperatorOptions &options);

} // namespace gwt
