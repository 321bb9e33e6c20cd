#pragma once

/// \file
/// \brief Module relay: slots, queues and connections of the slices' backend servers.

#include "relay/BackendClient.h"
#include "relay/BackendConnections.h"
#include "relay/BackendTarget.h"
#include "relay/ConnectionPacer.h"
#include "relay/EjectionPolicy.h"
#include "relay/ExtraLoadBudget.h"
#include "relay/HedgePolicy.h"
#include "relay/LatencyHistogram.h"
#include "relay/LegEnd.h"
#include "relay/LegQueue.h"
#include "relay/OwnerShare.h"
#include "relay/RelayOptions.h"
#include "relay/RelayRole.h"
#include "relay/ReplicaTable.h"
#include "relay/ServiceDispatcher.h"
#include "relay/ServiceScheduler.h"
#include "relay/ServiceTable.h"
#include "relay/SliceOwnership.h"
#include "relay/commands/BookingExecution.h"
#include "relay/commands/ReservationTable.h"
#include "relay/queries/LegRace.h"
#include "relay/queries/LegRunner.h"
#include "relay/queries/SearchMetrics.h"
#include "relay/queries/SliceSearch.h"
