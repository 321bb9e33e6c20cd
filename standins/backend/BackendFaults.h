#pragma once

#include "common/Time.h"

#include <set>

namespace gwt {

/// \brief Simulated behaviour of one backend server; can be changed over the admin port.
struct BackendBehaviour
{
    double slowFactor = 1; ///< multiplies each service time
    double slowShare = 0; ///< share of requests that take \c slowShareFactor times as long
    double slowShareFactor = 20;
    double failShare = 0; ///< share of requests whose connection is closed without a reply
    double shedShare = 0; ///< share of requests refused with not_run
    double truncateShare = 0; ///< share of replies whose body ends in the middle
    double foreignShare = 0; ///< share of replies that carry another request's id
    double crossShare = 0; ///< share of replies that are swapped with an earlier request's
    double malformedShare = 0; ///< share of replies that are not JSON
    double duplicateShare = 0; ///< share of replies sent twice
    bool isDead = false; ///< refuses all connections
    bool isFrozen = false; ///< accepts connections but does not answer while set
    bool isDraining = false; ///< see \c refusesWhenDraining and \c reportsDraining
    bool reportsDraining = true; ///< replies contain the draining state
    bool refusesWhenDraining = true;
    bool reportsLowLoad = false; ///< always reports an empty queue, whatever its length
    Milliseconds bookingReplyDelay{0}; ///< delay of the reply after a booking is executed
    bool losesBookingReplies
        = false; ///< executes bookings, then closes the connection without a reply
    std::set<std::uint64_t> versions{1}; ///< index versions that it can serve
};

} // namespace gwt
