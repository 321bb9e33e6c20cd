#pragma once

#include "booking/RangeRouter.h"
#include "booking/commands/RelayBookingClient.h"

#include <peer.pb.h>

namespace gwt {

/// \brief Runs bookings at most once: reserve a slot, journal SENT, send, journal the outcome.
class BookingRunner
{
public:
    BookingRunner(RangeRouter &router, RelayBookingClient &relays, Metrics &metrics,
                  BookingOptions options);

    /// \brief Runs \a request, or forwards it to the member that holds its range.
    Task<wire::BookReply> book(wire::BookRequest request, TimePoint deadline);

private:
    Task<wire::BookReply> bookOnRange(RangePtr range, wire::BookRequest request,
                                      TimePoint deadline);
    Task<wire::BookReply> reserveAndSend(RangePtr range, wire::BookRequest request,
                                         TimePoint deadline);
    Task<wire::BookReply> commitAndSend(RangePtr range, wire::BookRequest request,
                                        ReservedSlot slot, TimePoint deadline);
    Task<wire::BookReply> execute(RangePtr range, wire::BookRequest request, ReservedSlot slot,
                                  wire::BookingRecord record, TimePoint deadline);
    Task<wire::BookReply> recordNotSent(RangePtr range, wire::BookingRecord record,
                                        std::string reason);
    wire::BookReply countOutcome(wire::BookReply reply);

    RangeRouter &m_router;
    RelayBookingClient &m_relays;
    Metrics &m_metrics;
    const BookingOptions m_options;
};

/// \brief Sets the definite \a outcome, DONE or NOT_RUN, in \a record.
void setOutcome(wire::BookingRecord &record, const wire::ExecuteReply &outcome);

} // namespace gwt
