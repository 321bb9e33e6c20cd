#pragma once

#include "common/LatencyHistogram.h"

#include <map>
#include <optional>
#include <string>

namespace gwt {

/// \brief Bounds of hedging.
struct HedgeRules
{
    bool isEnabled = true;
    double quantile = 0.96; ///< of the time in a slot, after which a leg is hedged
    std::uint32_t minSamples = 50; ///< below it the fallback delay holds
    Duration fallbackDelay = Milliseconds(50);
    Duration minDelay = Milliseconds(2);
};

/// \brief When a leg of one service is hedged; pure decision code.
///
/// The clock of a leg starts when it takes its slot, so that a wait in the queue never causes a
/// hedge. Each rank has its own distribution.
class HedgePolicy
{
public:
    explicit HedgePolicy(HedgeRules rules = {});

    /// \brief Records the time that a leg of \a rank has spent in its slot.
    void note(const std::string &rank, Duration slotTime);
    /// \brief Time in the slot after which a leg of \a rank is hedged; none if it may not be.
    ///
    /// \a queueDelay is what a new leg would wait: where it exceeds the delay itself, more work
    /// cannot help.
    std::optional<Duration> delay(const std::string &rank, bool isRankHedged,
                                  Duration queueDelay) const;

private:
    HedgeRules m_rules;
    std::map<std::string, LatencyHistogram> m_slotTimes;
};

} // namespace gwt
