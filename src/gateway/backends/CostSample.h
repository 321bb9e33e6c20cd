#pragma once

#include "common/Time.h"

#include <vector>

namespace gwt {

/// \brief What the end of a request teaches about its cost and its server.
struct CostSample
{
    Duration cost{0}; ///< at the pace of the median server of the service
    double paceRatio = 1; ///< time without the wait, over the expected cost
    /// Of paceRatio: the expected cost over the expected time. A wait is known less well than a
    /// cost.
    double paceWeight = 1;
};

/// \brief The lower median of \a paces, 1 if there are none.
double medianPace(std::vector<double> paces);

/// \brief Tells the cost of a request, sent to a server that works at \a pace, from the wait there.
///
/// \a elapsed is from the send to the end, \a wait the part of it spent behind other requests.
CostSample makeCostSample(Duration elapsed, Duration wait, Duration expectedCost, double pace,
                          double median);

} // namespace gwt
