#pragma once

/// \file
/// \brief Module operator: the commands and queries of gwtctl.

#include "operator/FleetStatus.h"
#include "operator/JsonFields.h"
#include "operator/OperatorContext.h"
#include "operator/OperatorOptions.h"
#include "operator/OperatorProgram.h"
#include "operator/OperatorReport.h"
#include "operator/commands/PublishCommand.h"
#include "operator/queries/BackendsQuery.h"
#include "operator/queries/CheckQuery.h"
#include "operator/queries/ExplainQuery.h"
#include "operator/queries/HistoryQuery.h"
#include "operator/queries/RequestQuery.h"
#include "operator/queries/ShowQuery.h"
#include "operator/queries/StatusQuery.h"
