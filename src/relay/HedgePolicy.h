#pragma once

#include "common/LatencyHistogram.h"

#include <map>
#include <optional>
#include <string>

namespace gwt {

/// \brief Parameters of hedging.
struct HedgeRules
{
    bool isEnabled = true;
    double quantile = 0.96; ///< of the slot times, after which an attempt is hedged
    std::uint32_t minSamples = 50; ///< with fewer, fallbackDelay applies
    Duration fallbackDelay = Milliseconds(50);
    Duration minDelay = Milliseconds(2);
};

/// \brief Computes the hedge delay for one service. Has no I/O and reads no clock.
///
/// The delay counts from the grant of the slot, so that queueing never causes a hedge. Each rank
/// has its own latency distribution.
class HedgePolicy
{
public:
    explicit HedgePolicy(HedgeRules rules = {});

    /// \brief Records how long an attempt of \a rank held its slot.
    void record(const std::string &rank, Duration slotTime);
    /// \brief Time in the slot after which an attempt of \a rank is hedged; none if it may not be.
    ///
    /// \a queueDelay is the expected wait of a new attempt. If it exceeds the hedge delay, more
    /// load cannot help and no hedge is sent.
    std::optional<Duration> delay(const std::string &rank, bool isRankHedged,
                                  Duration queueDelay) const;

private:
    HedgeRules m_rules;
    std::map<std::string, LatencyHistogram> m_slotTimes;
};

} // namespace gwt
