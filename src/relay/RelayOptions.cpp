#include "relay/RelayOptions.h"

namespace gwt {

RelayOptions RelayOptions::read(Settings &settings)
{
    RelayOptions options;
    if (settings.choice("relay.queue", "ranked", {"ranked", "fifo"}) == "fifo")
        options.queue = QueueOrder::Fifo;
    if (settings.choice("relay.picker", "expected", {"expected", "random"}) == "random")
        options.picker = ReplicaPicker::Random;
    options.hedging.isEnabled = settings.flag("relay.hedging", true);
    options.ejection.isEnabled = settings.flag("relay.ejection", true);
    options.extraLoadShare = settings.number("relay.extra_load_share", 0.05, 0, 1);
    return options;
}

} // namespace gwt
