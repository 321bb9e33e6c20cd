#pragma once

#include "relay/BackendClient.h"
#include "relay/ServiceTable.h"
#include "relay/commands/ReservationTable.h"

#include <booking.pb.h>
#include <peer.pb.h>

namespace gwt {

/// \brief Reserves slots for bookings and sends each booking at most once.
class BookingExecution
{
public:
    BookingExecution(const ConfigHolder &config, ServiceTable &services, BackendClient &backends);

    Task<wire::ReserveReply> reserve(wire::ReserveRequest request, TimePoint deadline,
                                     CancelToken cancel);
    /// \brief Consumes a reservation: sends its booking, once.
    Task<wire::ExecuteReply> execute(wire::ExecuteRequest request, TimePoint deadline);
    wire::ReleaseReply release(const wire::ReleaseRequest &request);
    /// \brief Outcome of a reservation; NOT_RUN is proven only if this process granted it.
    wire::ExecuteReply outcome(const wire::OutcomeRequest &request);
    /// \brief Releases the slots of expired reservations; called periodically.
    void expire() { m_reservations.expire(Clock::now()); }
    std::size_t reservationCount() const { return m_reservations.size(); }

private:
    Task<wire::ExecuteReply> send(SlotLease lease, wire::ExecuteRequest request,
                                  TimePoint deadline);

    const ConfigHolder &m_config;
    ServiceTable &m_services;
    BackendClient &m_backends;
    ReservationTable m_reservations;
};

} // namespace gwt
