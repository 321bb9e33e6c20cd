#pragma once

#include "common/Time.h"

namespace gwt {

/// \brief Estimates the time from the decision to send an answer until it is written.
///
/// Merging the results of many shards on a fraction of a core takes a time that differs by host and
/// load, so each process measures its own.
class DeliveryTime
{
public:
    /// \brief Records that an answer was written \a lateness after it was due.
    void record(Duration lateness);
    /// \brief Time to reserve before a target.
    Duration estimate() const { return s_base + m_peak; }

private:
    /// Time in the kernel and the platform's load balancer, which no process can measure.
    static constexpr Duration s_base = Milliseconds(4);
    static constexpr double s_decay = 0.8; ///< of the peak per answer; halves it in three answers

    Duration m_peak{0};
};

} // namespace gwt
