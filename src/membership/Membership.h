#pragma once

/// \file
/// \brief Module membership: the members of the fleet and the owners of slices and booking ranges.

#include "membership/GossipCodec.h"
#include "membership/GossipCore.h"
#include "membership/GossipCounts.h"
#include "membership/GossipMembership.h"
#include "membership/GossipMessage.h"
#include "membership/GossipOptions.h"
#include "membership/HostListMembership.h"
#include "membership/Member.h"
#include "membership/MemberTable.h"
#include "membership/OwnerCall.h"
#include "membership/Ownership.h"
#include "membership/ReachableMembers.h"
#include "membership/TableDifferences.h"
#include "membership/UpdateQueue.h"
