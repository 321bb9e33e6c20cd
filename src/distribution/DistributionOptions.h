#pragma once

#include "common/Time.h"

#include <string>

namespace gwt {

/// \brief Options of one daemon's ConfigDistributor.
struct DistributionOptions
{
    std::string selfId; ///< this daemon's id among the members
    std::string availabilityZone;
    /// \brief Daemons of each zone that watch the store. With a number as large as the fleet, every
    /// daemon watches it, which is the simple baseline.
    std::size_t watchersPerZone = 2;
    Milliseconds tick{100}; ///< interval of the checks for newer gossiped generations
    Milliseconds peerInterval{800}; ///< mean interval between polls of a peer's head
    /// \brief Shortest interval between direct reads of the store by a daemon whose information
    /// from the store, its own or from peers, is older than this.
    Milliseconds storeInterval{4000};
    Milliseconds peerTimeout{1000};
    Milliseconds loadTimeout{10'000}; ///< for loading one generation
    Milliseconds storeTimeout{5000}; ///< for one store call; the store may be slow
    Milliseconds configWatchTimeout{1000}; ///< a watch that returns proves that the store answers
    Milliseconds indexWatchTimeout{10'000};
};

} // namespace gwt
