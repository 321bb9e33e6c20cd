#pragma once

/// \file
/// \brief Module distribution: propagates each published generation and index version to all
/// daemons; the number of store calls depends only on the number of watchers.

#include "distribution/ConfigDistributor.h"
#include "distribution/ConfigSource.h"
#include "distribution/DistributionOptions.h"
#include "distribution/GenerationLoader.h"
#include "distribution/PeerSource.h"
#include "distribution/PullPolicy.h"
#include "distribution/StoreSource.h"
#include "distribution/VerifiedConfig.h"
#include "distribution/WatcherSelection.h"
