#pragma once

#include "booking/BookingOptions.h"
#include "common/Endpoint.h"
#include "common/Outcome.h"
#include "control/ConfigHolder.h"
#include "membership/Member.h"
#include "peer/PeerClient.h"

#include <booking.pb.h>
#include <journal.pb.h>
#include <peer.pb.h>

#include <vector>

namespace gwt {

/// \brief A slot that a relay holds for a booking until it is used or expires.
struct ReservedSlot
{
    Endpoint relay;
    std::string reservation;
    std::string
        incarnation; ///< of the relay process; only this process knows whether the slot was used
    TimePoint expiresAt; ///< upper bound; the relay's own expiry, a little earlier, decides
};

/// \brief Client for a relay's booking calls: reserve, execute once, release, query the outcome.
class RelayBookingClient
{
public:
    RelayBookingClient(const ConfigHolder &config, const MembershipView &membership,
                       PeerClient &peers, BookingOptions options);

    /// \brief Reserves a slot for \a request. Errors: NotRun, as nothing was sent.
    Task<Outcome<ReservedSlot>> reserve(wire::BookRequest request, TimePoint deadline);
    /// \brief Sends the booking once, using \a slot. UNKNOWN if the outcome is not known.
    Task<wire::ExecuteReply> execute(wire::BookRequest request, ReservedSlot slot,
                                     TimePoint deadline);
    Task<void> release(ReservedSlot slot);
    /// \brief Queries the outcome of \a record's reservation; an unused one is cancelled.
    Task<wire::ExecuteReply> queryOutcome(wire::BookingRecord record, TimePoint deadline);

private:
    std::vector<Member> relaysFor(const std::string &service) const;

    const ConfigHolder &m_config;
    const MembershipView &m_membership;
    PeerClient &m_peers;
    const BookingOptions m_options;
};

} // namespace gwt
