#pragma once

#include "daemon/DaemonRole.h"
#include "daemon/DaemonServices.h"
#include "relay/OwnerTakeover.h"
#include "relay/RelayOptions.h"
#include "relay/commands/BookingExecution.h"
#include "relay/queries/SliceSearch.h"

namespace gwt {

/// \brief The relay daemon: owns slices and sends requests to their backend servers.
class RelayRole : public DaemonRole
{
public:
    RelayRole(DaemonServices &services, RelayOptions options);

    Outcome<Done> start() override;
    bool isReady() const override { return true; }
    void stopAccepting() override { }
    Task<void> handOver() override { co_return; }
    int requestsInProgress() const override { return 0; }
    std::string statusJson() const override;

private:
    Task<wire::SliceSearchReply> search(wire::SliceSearchRequest request, PeerRequest raw);
    Task<wire::ReserveReply> reserve(wire::ReserveRequest request, PeerRequest raw);
    Task<void> runMaintenance();
    Task<void> pollHostList();

    DaemonServices &m_daemon;
    ReachableMembers m_members;
    SliceOwnership m_ownership;
    OwnerTakeover m_takeover;
    ServiceTable m_services;
    BackendConnectionPool m_connections;
    BackendClient m_backends;
    SliceSearch m_search;
    BookingExecution m_bookings;
};

} // namespace gwt
