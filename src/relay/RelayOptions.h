#pragma once

#include "common/Settings.h"
#include "relay/AttemptQueue.h"
#include "relay/HedgePolicy.h"
#include "relay/ReplicaTable.h"

namespace gwt {

/// \brief Settings of the relay role, including the baseline algorithms for comparison.
struct RelayOptions
{
    QueueOrder queue = QueueOrder::Ranked; ///< relay.queue = "ranked" or "fifo"
    /// relay.picker = "expected" or "random"
    ReplicaPicker picker = ReplicaPicker::LeastCompletionTime;
    HedgeRules hedging; ///< relay.hedging = true or false
    EjectionRules ejection; ///< relay.ejection = true or false
    double extraLoadShare = 0.05; ///< relay.extra_load_share: hedges and retries per first attempt

    static RelayOptions read(Settings &settings);
};

} // namespace gwt
