#pragma once

#include "booking/RangeRouter.h"

#include <peer.pb.h>

namespace gwt {

/// \brief Looks up the state of a booking, and refuses attempts whose reply was lost.
class BookingLookup
{
public:
    BookingLookup(RangeRouter &router, Metrics &metrics);

    /// \brief The booking's state in the journal; NOT_RUN "no_record" guarantees it was not run.
    ///
    /// With \c refuse_attempt set, NOT_RUN applies to that attempt: unless it was already sent,
    /// its refusal is journalled, so that a late copy of its request does not run.
    Task<wire::BookReply> lookUp(wire::BookLookupRequest request, TimePoint deadline);

private:
    Task<wire::BookReply> lookUpOnRange(RangePtr range, wire::BookLookupRequest request,
                                        TimePoint deadline);
    Task<wire::BookReply> refuseAttempt(RangePtr range, wire::BookLookupRequest request,
                                        TimePoint deadline);

    RangeRouter &m_router;
    Metrics &m_metrics;
};

} // namespace gwt
