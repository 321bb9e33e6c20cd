#pragma once

#include <cstdint>

namespace gwt {

/// \brief Event counters of a GossipCore since its start.
struct GossipCounts
{
    std::uint64_t probes = 0; ///< members probed
    std::uint64_t indirectProbes = 0; ///< probes repeated through other members
    std::uint64_t suspicions = 0; ///< raised by this member
    std::uint64_t refutations = 0; ///< wrong states of this member that it corrected
    std::uint64_t deaths = 0; ///< members declared dead, here or by others
    std::uint64_t falseDeaths = 0; ///< members declared dead that returned without a restart
    std::uint64_t pauses = 0; ///< periods in which this process did not run
};

} // namespace gwt
