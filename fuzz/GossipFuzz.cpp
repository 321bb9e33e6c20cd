#include "membership/GossipCodec.h"
#include "membership/GossipCore.h"

/// \brief Feeds arbitrary bytes to a member as a datagram: they are rejected or processed, and
/// every datagram that it sends in turn is within the size limit.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    const gwt::Outcome<gwt::GossipMessage> message = gwt::decodeGossip(bytes);
    if (!gwt::isOk(message))
        return 0;
    gwt::Member self;
    self.id = "self";
    self.gossipAddress = {"127.0.0.1", 1};
    const gwt::GossipOptions options;
    gwt::GossipCore core(self, options);
    gwt::RandomEngine random(1);
    const gwt::TimePoint now = gwt::Clock::now();
    core.tick(now, random);
    gwt::GossipOutputs outputs = core.receive({"127.0.0.1", 2}, gwt::valueOf(message), now, random);
    for (gwt::GossipOutput &output : core.tick(now + std::chrono::seconds(3), random))
        outputs.push_back(std::move(output));
    for (const gwt::GossipOutput &output : outputs) {
        if (gwt::encodeGossip(output.message).size() > options.maxDatagramBytes)
            __builtin_trap();
    }
    return 0;
}
