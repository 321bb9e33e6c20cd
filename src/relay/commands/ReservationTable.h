#pragma once

#include "common/Random.h"
#include "relay/ServiceDispatcher.h"

#include <peer.pb.h>

#include <map>
#include <mutex>
#include <string>

namespace gwt {

/// \brief Holds the slots reserved for bookings and the outcomes of used reservations.
///
/// The incarnation distinguishes this process from its predecessor: only the process that granted
/// a reservation knows whether it was used. Thread-safe.
class ReservationTable
{
public:
    /// \brief Retains the outcome of a used reservation for \a memory.
    explicit ReservationTable(Duration retention);

    const std::string &incarnation() const { return m_incarnation; }

    /// \brief Holds \a lease until \a expiry; returns the reservation's id.
    std::string add(SlotLease lease, TimePoint expiry);
    /// \brief Moves the lease of \a id to the caller, who may use it once.
    ///
    /// Errors: NotRun "no_such_reservation" (it was not used and no longer can be); Unknown
    /// "used_before".
    Outcome<SlotLease> consume(const std::string &id, TimePoint now);
    /// \brief Records the outcome of a used reservation.
    void recordOutcome(const std::string &id, const wire::ExecuteReply &outcome, TimePoint now);
    /// \brief Releases \a id if it is unused; it can no longer be used.
    void withdraw(const std::string &id);
    /// \brief Outcome of \a id; withdraws it first if it is unused.
    ///
    /// NOT_RUN: proven unused. UNKNOWN: "in_progress", "forgotten", or the execution's own reason.
    wire::ExecuteReply outcome(const std::string &id);
    /// \brief Releases the slots of expired reservations and drops old outcomes.
    void expire(TimePoint now);
    std::size_t size() const;

private:
    using Number = std::uint64_t;

    struct Reservation
    {
        SlotLease lease;
        TimePoint expiry;
    };

    struct Execution
    {
        bool isFinished = false;
        wire::ExecuteReply outcome;
        TimePoint finishedAt;
    };

    const std::string m_incarnation;
    const Duration m_retention;
    mutable std::mutex m_mutex;
    Number m_lastNumber = 0;
    Number m_highestDropped = 0; ///< outcomes up to this number may have been dropped
    std::map<Number, Reservation> m_reservations;
    std::map<Number, Execution> m_executions;
};

} // namespace gwt
