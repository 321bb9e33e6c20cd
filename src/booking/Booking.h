#pragma once

/// \file
/// \brief Module booking: key ranges, their journals, and at-most-once execution of bookings.

#include "booking/ActiveKeys.h"
#include "booking/BookingEngine.h"
#include "booking/BookingOptions.h"
#include "booking/BookingRange.h"
#include "booking/BookingReplies.h"
#include "booking/BookingRole.h"
#include "booking/JournalState.h"
#include "booking/RangeRouter.h"
#include "booking/RangeTable.h"
#include "booking/UnsettledList.h"
#include "booking/commands/BookingRunner.h"
#include "booking/commands/RangeMaintainer.h"
#include "booking/commands/RelayBookingClient.h"
#include "booking/queries/BookingLookup.h"
