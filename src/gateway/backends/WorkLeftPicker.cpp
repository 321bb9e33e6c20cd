#include "gateway/backends/WorkLeftPicker.h"

#include <algorithm>

namespace gwt {

WorkLeftPicker::WorkLeftPicker(WorkLeftRules rules)
    : m_rules(rules)
{ }

Duration WorkLeftPicker::expected(const ServerLoad &server, Duration typicalLatency,
                                  const CostEstimate &cost, TimePoint now) const
{
    const int slots = std::max(1, server.slots);
    const double pace = server.work.pace(now);
    const double share = server.inFlight < slots ? m_rules.freeSlotShare : 1;
    auto time = (server.work.workLeft(pace, now) * (share / slots)
                 + cost.mean * (1 + server.work.reportedLoad(now)))
        * pace;
    if (server.score.hasFailures())
        time += typicalLatency * (m_rules.failureCost * server.score.failureRate(now));
    auto expected = std::chrono::duration_cast<Duration>(time);
    if (server.isOtherZone)
        expected += m_rules.crossZoneCost;
    return expected;
}

} // namespace gwt
