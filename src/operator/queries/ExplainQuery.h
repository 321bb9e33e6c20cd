#pragma once

#include "operator/OperatorContext.h"
#include "operator/OperatorReport.h"

namespace gwt {

/// \brief gwtctl explain SERVICE | booking KEY: its owners, best first, and the reason.
/// \sa explainRequest()
OperatorReport runExplain(OperatorContext &context, const OperatorOptions &options);

} // namespace gwt
