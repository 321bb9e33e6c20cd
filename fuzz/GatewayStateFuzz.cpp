#include "gateway/sharing/ConfigHistory.h"
#include "gateway/sharing/StateCodec.h"

#include <cstdlib>

using namespace gwt;

/// \brief Any bytes from another gateway are decoded or rejected without a crash.
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
    // A configuration that was applied, in full or as a delta, can be sent to another process.
    ConfigHistory told;
    RoutingConfig held;
    held.version = 1;
    held.routes.resize(1);
    told.replace(held);
    if (isOk(told.take(reply.config()))) {
        wire::RoutingConfigMessage all;
        told.tellAll(all);
        ConfigHistory other;
        if (!isOk(other.take(all)) || other.current().version != reply.config().version())
            std::abort();
        told.tellSince(1, all);
    }
    for (const auto &change : reply.changes())
        decode(change);
    for (const auto &member : reply.members())
        decode(member);
    return 0;
}
