#pragma once

#include "gateway/backends/BackendPicker.h"

namespace gwt {

struct WorkLeftRules
{
    /// Share of the work left that counts while a slot seems free: other senders may use it.
    double freeSlotShare = 0.25;
    double failureCost = 12; ///< typical latencies added at a failure rate of 1
    Duration crossZoneCost = Milliseconds(3); ///< round trip between availability zones
};

/// \brief Expects the work left at the server, over its slots, plus the cost of the request, at the
/// server's pace.
class WorkLeftPicker : public BackendPicker
{
public:
    explicit WorkLeftPicker(WorkLeftRules rules = {});

    Duration expected(const ServerLoad &server, Duration typicalLatency, const CostEstimate &cost,
                      TimePoint now) const override;

private:
    const WorkLeftRules m_rules;
};

} // namespace gwt
