#pragma once

#include "common/Time.h"

namespace gwt {

/// \brief How long an answer takes from the decision to send it until it is written.
///
/// Answers the pattern of a fraction of a core that has many shards to merge: the time differs by
/// host and load, so that each process measures its own.
class DeliveryTime
{
public:
    /// \brief An answer that was due has been written \a lateness after that.
    void record(Duration lateness);
    /// \brief Time to keep free before a target.
    Duration estimate() const { return s_base + m_peak; }

private:
    /// The way through the kernel and the platform's balancer, which no process can measure.
    static constexpr Duration s_base = Milliseconds(4);
    static constexpr double s_decay = 0.8; ///< of the peak with each answer: half after three

    Duration m_peak{0};
};

} // namespace gwt
