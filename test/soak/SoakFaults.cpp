#include "common/Assert.h"
#include "soak/Soak.h"

#include <algorithm>

namespace gwt::test {

const std::vector<Soak::Fault> Soak::s_faults = {
    {"store unavailable", &Soak::storeUnavailable},
    {"store resets", &Soak::storeResets},
    {"store silent", &Soak::storeSilent},
    {"store cut from one gateway", &Soak::storeCut},
    {"store mute to all gateways but one", &Soak::storeMute},
    {"store returns from an older copy", &Soak::storeRestored},
    {"backend slow", &Soak::backendSlow},
    {"backend full", &Soak::backendFull},
    {"backend fails", &Soak::backendFails},
    {"backend refuses after execution", &Soak::backendRefusesAfterwards},
    {"backend loses replies", &Soak::backendLosesReplies},
    {"backend repeats replies", &Soak::backendRepeatsReplies},
    {"backend sends surplus bytes", &Soak::backendSendsSurplus},
    {"backend never ends replies", &Soak::backendNeverEnds},
    {"backend cut", &Soak::backendCut},
    {"backend leaves", &Soak::backendLeaves},
    {"backend announces its end", &Soak::backendAnnouncesEnd},
    {"backend sheds load", &Soak::backendSheds},
    {"gateway killed", &Soak::gatewayKilled},
    {"gateway stopped", &Soak::gatewayStopped},
    {"gateway stopped twice", &Soak::gatewayStoppedTwice},
    {"all gateways stopped in series", &Soak::allGatewaysStopped},
    {"gateway paused", &Soak::gatewayPaused},
    {"gateway reloads", &Soak::gatewayReloads},
    {"configuration changes", &Soak::configChanges},
};

std::vector<Soak::Fault> Soak::selectFaults(const std::vector<std::string> &names)
{
    std::vector<Fault> chosen;
    for (const Fault &fault : s_faults) {
        if (names.empty() || std::find(names.begin(), names.end(), fault.name) != names.end())
            chosen.push_back(fault);
    }
    GWT_ASSERT(!chosen.empty(), "at least one given name is the name of a fault");
    return chosen;
}

} // namespace gwt::test
