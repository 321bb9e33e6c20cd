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
    wire::RoutingConfigMessage reencoded;
    encode(config, reencoded);
    if (decode(reencoded).routes.size() != config.routes.size())
        std::abort();
    // A configuration that was applied, in full or as a delta, can be sent to another process.
    ConfigHistory history;
    RoutingConfig initial;
    initial.version = 1;
    initial.routes.resize(1);
    history.replace(initial);
    if (isOk(history.apply(reply.config()))) {
        wire::RoutingConfigMessage sent;
        history.encodeFull(sent);
        ConfigHistory other;
        if (!isOk(other.apply(sent)) || other.current().version != reply.config().version())
            std::abort();
        history.encodeSince(1, sent);
    }
    for (const auto &change : reply.changes())
        decode(change);
    for (const auto &member : reply.members())
        decode(member);
    return 0;
}
