#pragma once

#include "operator/OperatorContext.h"
#include "operator/OperatorReport.h"

namespace gwt {

/// \brief gwtctl show KIND [NAME]: objects of the newest generation with their fields.
OperatorReport runShow(OperatorContext &context, const OperatorOptions &options);

} // namespace gwt
