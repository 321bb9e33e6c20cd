#include "daemon/DaemonModule.h"
#include "platform/StoreAccess.h"
#include "relay/Relay.h"

int main(int argc, char **argv)
{
    const gwt::DaemonProgram program{
        "gwt-relay", gwt::Role::Relay,
        "Owns slices: their backend servers' connections, slots and queues.",
        [](gwt::Settings &settings) -> gwt::RoleFactory {
            return [options = gwt::RelayOptions::read(settings)](
                       gwt::DaemonServices &services) -> std::unique_ptr<gwt::DaemonRole> {
                return std::make_unique<gwt::RelayRole>(services, options);
            };
        },
        gwt::platform::StoreAccess::connect};
    return gwt::runDaemon(program, argc, argv);
}
