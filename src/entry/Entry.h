#pragma once

/// \file
/// \brief Module entry: the HTTP API for callers. Searches are queries, bookings are commands.

#include "entry/ApiError.h"
#include "entry/EntryRole.h"
#include "entry/RecentRequests.h"
#include "entry/admission/AdmissionGate.h"
#include "entry/admission/AdmissionPolicy.h"
#include "entry/admission/ServiceLoadTable.h"
#include "entry/commands/BookingBody.h"
#include "entry/commands/BookingResponse.h"
#include "entry/commands/BookingService.h"
#include "entry/queries/SearchRequest.h"
#include "entry/queries/SearchResponse.h"
#include "entry/queries/SearchService.h"
#include "entry/queries/SliceMerge.h"
#include "entry/queries/SnapshotPlanner.h"
