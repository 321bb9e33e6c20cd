#pragma once

#include "control/ConfigParser.h"
#include "operator/OperatorContext.h"
#include "operator/OperatorReport.h"

namespace gwt {

/// \brief gwtctl check DIR: lists every fault of the set with file, line, object and field.
OperatorReport runCheck(OperatorContext &context, const OperatorOptions &options);
/// \brief gwtctl plan DIR: the objects that differ from the newest generation, with their fields.
OperatorReport runPlan(OperatorContext &context, const OperatorOptions &options);

/// \brief Creates the report of an invalid set.
OperatorReport faultReport(const std::vector<ConfigFault> &faults);

} // namespace gwt
