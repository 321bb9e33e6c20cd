#pragma once

#include "common/Time.h"
#include "gateway/policy/RetryBudget.h"

#include <string>

namespace gwt {

/// \brief What a gateway is told at its start.
struct GatewayOptions
{
    std::string hostName;
    std::string availabilityZone;
    RetryBudgetRules repeatBudget;
    /// How long an entry that vanished in an outage of the registry is kept after its return.
    Milliseconds registryReturnGrace{2000};
    /// Processes that share connections and budgets until their number is known.
    int assumedFleetSize = 8;
    /// After a stop was asked for: until idle connections of callers are closed.
    Milliseconds idleCloseDelay{2500};
    /// After a stop was asked for: until the process ends with requests open.
    Milliseconds stopLimit{5500};
};

} // namespace gwt
