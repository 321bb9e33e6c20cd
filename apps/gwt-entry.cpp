#include "daemon/DaemonModule.h"
#include "entry/Entry.h"
#include "platform/StoreAccess.h"

int main(int argc, char **argv)
{
    const gwt::DaemonProgram program{
        "gwt-entry", gwt::Role::Entry, "Answers callers over HTTP: searches and bookings.",
        [](gwt::Settings &settings) -> gwt::RoleFactory {
            return [options = gwt::EntryOptions::read(settings)](
                       gwt::DaemonServices &services) -> std::unique_ptr<gwt::DaemonRole> {
                return std::make_unique<gwt::EntryRole>(services, options);
            };
        },
        gwt::platform::StoreAccess::connect};
    return gwt::runDaemon(program, argc, argv);
}
