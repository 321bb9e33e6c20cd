#include "gateway/sharing/StateCodec.h"

#include <cstdlib>

using namespace gwt;

/// \brief What one gateway tells another: any bytes are read or refused, never a crash.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    wire::FleetStateReply reply;
    if (!reply.ParseFromArray(data, static_cast<int>(size)))
        return 0;
    const RoutingConfig config = decode(reply.config());
    wire::RoutingConfigMessage again;
    encode(config, again);
    if (decode(again).routes.size() != config.routes.size())
        std::abort();
    for (const auto &change : reply.changes())
        decode(change);
    for (const auto &member : reply.members())
        decode(member);
    return 0;
}
