#pragma once

#include "SoakGateway.h"

#include "common/Random.h"
#include "common/TimerQueue.h"

#include <memory>
#include <vector>

namespace gwt::test {

/// \brief Stops gateways by signals, at random times in sequence and overlapping.
class PlannedStops
{
public:
    PlannedStops(TimerQueue &timers, RandomEngine &random,
                 const std::vector<std::unique_ptr<SoakGateway>> &gateways);

    /// \brief Stops one gateway, and signals it twice more while it stops.
    void stopOneTwice();
    /// \brief Stops all gateways one after the other; no effect while it is doing so.
    void stopAllInSeries();
    /// \brief Stops no further gateway.
    void end() { m_hasEnded = true; }

private:
    void stopInSeries(std::size_t number);
    /// \brief Returns a random time between \a shortest and \a longest.
    Milliseconds randomTime(Milliseconds shortest, Milliseconds longest);

    TimerQueue &m_timers;
    RandomEngine &m_random;
    const std::vector<std::unique_ptr<SoakGateway>> &m_gateways;
    bool m_isStoppingInSeries = false;
    bool m_hasEnded = false;
};

} // namespace gwt::test
