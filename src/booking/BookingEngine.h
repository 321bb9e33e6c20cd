#pragma once

#include "booking/RangeRouter.h"
#include "booking/commands/BookingRunner.h"
#include "booking/commands/RangeMaintainer.h"
#include "booking/queries/BookingLookup.h"
#include "peer/PeerServer.h"

namespace gwt {

/// \brief Dependencies of a BookingEngine.
struct BookingServices
{
    Executor executor;
    ObjectStore &store;
    const ConfigHolder &config;
    const MembershipView &membership;
    PeerClient &peers;
    Metrics &metrics;
};

/// \brief The booking role without its process: ranges, commands and queries.
class BookingEngine
{
public:
    BookingEngine(const BookingServices &services, const RangeHolder &self, BookingOptions options);

    /// \brief Registers the peer routes and starts the maintenance of the ranges.
    void start(PeerServer &server);
    /// \brief Waits for the bookings in progress and releases all ranges.
    Task<void> handOver() { return m_maintainer.releaseAll(); }
    /// \brief Status as {"ranges_held", "unsettled":[{key, attempt, service, sent_ms, relay}]}.
    std::string statusJson() const;
    int rangesHeld() const { return m_ranges.heldCount(); }

private:
    RangeTable m_ranges;
    RangeRouter m_router;
    RelayBookingClient m_relays;
    BookingRunner m_runner;
    BookingLookup m_lookup;
    RangeMaintainer m_maintainer;
};

} // namespace gwt
