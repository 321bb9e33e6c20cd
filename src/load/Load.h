#pragma once

/// \file
/// \brief Module load: open-loop load generator for entries, reports, and the booking audit.

#include "load/BackendLoad.h"
#include "load/BookingAudit.h"
#include "load/LoadComparison.h"
#include "load/LoadOptions.h"
#include "load/LoadPlot.h"
#include "load/LoadRunner.h"
#include "load/LoadSummary.h"
#include "load/LoadTable.h"
#include "load/StreamReport.h"
