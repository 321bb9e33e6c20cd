#pragma once

#include "operator/OperatorContext.h"
#include "operator/OperatorReport.h"

namespace gwt {

/// \brief gwtctl backends: what each gateway believes of the backend servers of a service.
OperatorReport runBackends(OperatorContext &context, const OperatorOptions &options);

} // namespace gwt
