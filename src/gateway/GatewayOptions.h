#pragma once

#include "common/Time.h"
#include "gateway/backends/BackendPicker.h"
#include "gateway/policy/RetryBudget.h"
#include "http/HostLimits.h"

#include <optional>
#include <string>

namespace gwt {

/// \brief Options that a gateway process starts with.
struct GatewayOptions
{
    std::string hostName;
    std::string availabilityZone;
    RetryBudgetRules retryBudget;
    /// Age of the configuration above which API keys are not accepted; without a value they are.
    std::optional<Milliseconds> keyProofLimit = std::nullopt;
    HostLimits hostLimits = {};
    /// Time after an outage of the registry for which entries that vanished in it are retained.
    Milliseconds registryRecoveryGrace{2000};
    PickerKind picker = PickerKind::Latency;
    /// Number of processes assumed to share connections and budgets until it is known.
    int assumedFleetSize = 8;
    /// Time from the stop signal until idle connections of callers are closed.
    Milliseconds idleCloseDelay{2500};
    /// Time from the stop signal after which the process ends even with requests in flight.
    Milliseconds shutdownTimeout{5500};
};

} // namespace gwt
