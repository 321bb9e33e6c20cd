#include "booking/BookingRole.h"

namespace gwt {

namespace {

BookingServices servicesOf(DaemonServices &daemon)
{
    return {daemon.pool.executor(), daemon.store,      daemon.config,
            daemon.membership,      daemon.peerClient, daemon.metrics};
}

} // namespace

BookingRole::BookingRole(DaemonServices &services, BookingOptions options)
    : m_daemon(services)
    , m_engine(servicesOf(services), RangeHolder(services.options.name, services.options.peer),
               options)
{ }

Outcome<Done> BookingRole::start()
{
    m_engine.start(m_daemon.peerServer);
    return Done{};
}

} // namespace gwt
