#include "booking/Booking.h"
#include "daemon/DaemonModule.h"
#include "platform/StoreAccess.h"

int main(int argc, char **argv)
{
    const gwt::DaemonProgram program{
        "gwt-booking", gwt::Role::Booking,
        "Holds ranges of booking keys and runs each booking at most once.",
        [](gwt::Settings &settings) -> gwt::RoleFactory {
            return [options = gwt::BookingOptions::read(settings)](
                       gwt::DaemonServices &services) -> std::unique_ptr<gwt::DaemonRole> {
                return std::make_unique<gwt::BookingRole>(services, options);
            };
        },
        gwt::platform::StoreAccess::connect};
    return gwt::runDaemon(program, argc, argv);
}
