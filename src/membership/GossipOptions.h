#pragma once

#include "common/Time.h"

#include <cstddef>
#include <cstdint>

namespace gwt {

/// \brief Intervals and limits of the membership protocol; the same in all daemons of a fleet.
struct GossipOptions
{
    Milliseconds probeInterval{500}; ///< one further member is probed per interval
    Milliseconds probeTimeout{150}; ///< unanswered probes are repeated indirectly after this time
    std::size_t indirectProbes = 3; ///< members asked to send an indirect probe
    std::size_t smallFleetSize = 64; ///< most members for which smallFleetFailures applies
    int smallFleetFailures = 2; ///< intervals without an answer until a member is suspected
    int largeFleetFailures = 3; ///< the same in larger fleets, where more suspicions are propagated
                                ///< and refuted
    double suspicionFactor = 1; ///< a member is dead factor * log2(members) probe intervals after
                                ///< the first unanswered probe
    Milliseconds minSuspicionTime{1000}; ///< shortest time that a suspect has to refute
    Milliseconds gossipInterval{100}; ///< pending updates are sent once per interval
    std::size_t gossipFanout = 2;
    double transmitFactor = 3; ///< each member sends an update factor * ln(members) times
    Milliseconds syncInterval{2000}; ///< the table is compared with one member per interval
    Milliseconds joinInterval{200}; ///< the same until the member is synced
    std::uint32_t maxSyncReplies = 4; ///< most Updates datagrams in answer to one comparison
    std::uint32_t maxJoinReplies = 48; ///< the same for a joining member
    Milliseconds tombstoneTime{300'000}; ///< dead members are dropped after this time
    std::size_t maxDatagramBytes = 1400;
};

} // namespace gwt
