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
    bool isFrozen = false; ///< accepts, never answers while set
    bool isDraining = false; ///< refuses new work and says so in each reply
    bool reportsDraining = true; ///< whether replies tell that it drains
    bool refusesWhenDraining = true;
    bool reportsLowLoad = false; ///< lies: always reports an empty queue
    Milliseconds bookingReplyDelay{0}; ///< a booking is run, then the reply is held back
    bool losesBookingReplies = false; ///< a booking is run, then the connection is closed
    std::set<std::uint64_t> versions{1}; ///< index versions that it can serve
};

} // namespace gwt
