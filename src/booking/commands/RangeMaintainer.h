#pragma once

#include "booking/RangeTable.h"
#include "booking/UnsettledList.h"
#include "booking/commands/RelayBookingClient.h"

#include <array>
#include <atomic>
#include <map>

namespace gwt {

/// \brief Maintains the ranges in the background: settles bookings without an outcome, takes over
/// abandoned ranges and releases those that another member should hold.
class RangeMaintainer
{
public:
    RangeMaintainer(Executor executor, RangeTable &ranges, RelayBookingClient &relays,
                    const MembershipView &membership, Metrics &metrics, BookingOptions options);

    /// \brief Starts the maintenance loop, which runs until the executor stops.
    void start();
    /// \brief Releases all ranges; returns once none is held.
    Task<void> releaseAll();
    const UnsettledList &unsettled() const { return m_unsettled; }

private:
    /// \brief Backoff between outcome queries to a relay about one booking.
    struct OutcomePoll
    {
        TimePoint next;
        Duration delay{0};
    };

    /// \brief State of a range between rounds; all but the atomics is used on its strand only.
    struct RangeState
    {
        std::atomic<bool> needsCheck
            = false; ///< its holder may have died or left since the last check
        std::atomic<TimePoint> nextCheck = TimePoint{}; ///< earliest time of the next check
        std::map<std::string, OutcomePoll> outcomePolls; ///< by attempt
        int roundsNotPreferred = 0; ///< consecutive rounds in which another member was preferred
        bool isBusy = false;
    };

    Task<void> loop();
    /// \brief True if this process should check whether range \a number was abandoned.
    bool needsAdoption(int number);
    Task<void> adopt(int number);
    Task<void> maintain(int number, bool mayAdopt);
    Task<void> maintainHeld(int number);
    /// \brief Releases range \a number, on whose strand it runs; false if it is busy.
    Task<bool> release(int number);
    Task<void> settleAll(int number);
    Task<void> settleOne(RangePtr range, wire::BookingRecord record);
    /// \brief True if the outcome of \a record may be queried now; then sets the time of the next
    /// query.
    bool schedulePollIfDue(RangeState &rangeState, const wire::BookingRecord &record) const;
    bool hasMembershipChanged();

    Executor m_executor;
    RangeTable &m_ranges;
    RelayBookingClient &m_relays;
    const MembershipView &m_membership;
    Metrics &m_metrics;
    const BookingOptions m_options;
    UnsettledList m_unsettled;
    std::array<RangeState, bookingRangeCount> m_states;
    std::atomic<TimePoint> m_nextAdoption = TimePoint{};
    std::string m_lastMembers; ///< ids and states of the members in the last round
};

} // namespace gwt
