#pragma once

#include "membership/Member.h"

#include <cstdint>
#include <string>
#include <vector>

namespace gwt {

/// \brief Kind of a datagram of the membership protocol.
enum class GossipKind { Ping = 1, Ack, PingRequest, Updates, Sync, SyncBack };

/// \brief One datagram of the membership protocol; fields that its kind does not use are empty.
struct GossipMessage
{
    GossipKind kind = GossipKind::Updates;
    std::string from; ///< id of the sender
    std::uint64_t sequence = 0; ///< of the probe
    std::string target; ///< id of the probed member
    Endpoint targetAddress; ///< of a PingRequest
    std::vector<std::uint64_t> digests; ///< of Sync and SyncBack, one for each bucket
    std::uint32_t replyLimit = 0; ///< most Updates datagrams in the answer to a Sync
    std::vector<Member> updates; ///< states of members, piggybacked on every kind
};

/// \brief A message and its destination.
struct GossipOutput
{
    Endpoint to;
    GossipMessage message;
};

using GossipOutputs = std::vector<GossipOutput>;

} // namespace gwt
