#pragma once

#include "common/Metrics.h"
#include "control/ConfigHolder.h"
#include "entry/commands/BookingBody.h"
#include "http/HttpMessage.h"
#include "membership/Member.h"
#include "peer/PeerClient.h"

#include <peer.pb.h>

#include <optional>
#include <vector>

namespace gwt {

/// \brief Forwards bookings to the booking role and reports done, notRun or unknown.
class BookingService
{
public:
    BookingService(const ConfigHolder &config, const MembershipView &membership, PeerClient &peers,
                   Metrics &metrics);

    /// \brief Answers POST /v1/bookings.
    Task<HttpResponse> book(HttpRequest request);
    /// \brief Answers GET /v1/bookings/{key}.
    Task<HttpResponse> lookUp(std::string key);

private:
    /// \brief The booking daemons that may hold the lease of the range of \a key, best first.
    std::vector<Endpoint> candidateHolders(const std::string &key) const;
    /// \brief Chooses a service if \a booking names none. Returns the error response if its index,
    /// rank or service does not exist, else nullopt.
    std::optional<HttpResponse> resolveTarget(BookingBody &booking, const std::string &key,
                                              const std::string &requestId) const;
    Task<wire::BookReply> forwardBooking(wire::BookRequest message);
    /// \brief Finds out whether a booking ran whose reply was lost; refuses it if it did not.
    Task<wire::BookReply> resolveLostReply(wire::BookRequest message);
    Task<wire::BookReply> queryState(wire::BookLookupRequest message, std::string requestId);
    void countBooking(const wire::BookReply &reply);

    const ConfigHolder &m_config;
    const MembershipView &m_membership;
    PeerClient &m_peers;
    Metrics &m_metrics;
};

} // namespace gwt
