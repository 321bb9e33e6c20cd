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
    RangeMaintainer(Executor executor, RangeTable &ranges, RelayBookingClient &slots,
                    const MembershipView &membership, Metrics &metrics, BookingOptions options);

    /// \brief Starts the maintenance loop, which runs until the executor stops.
    void start();
    /// \brief Releases all ranges; returns once none is held.
    Task<void> releaseAll();
    const UnsettledList &unsettled() const { return m_unsettled; }

private:
    /// \brief Backoff between outcome queries to a relay about one booking.
    struct Question
    {
        TimePoint next;
        Duration delay{0};
    };

    /// \brief State of a range between rounds; all but the atomics is used on its strand only.
    struct Watch
    {
        std::atomic<bool> isUnchecked
            = false; ///< its holder may have died or left since the last check
        std::atomic<TimePoint> nextLook = TimePoint{}; ///< earliest time of the next check
        std::map<std::string, Question> questions; ///< by attempt
        int roundsElsewhere = 0; ///< consecutive rounds in which another member was preferred
        bool isWorking = false;
    };

    Task<void> loop();
    /// \brief True if this process should check whether range \a number was abandoned.
    bool needsAdoption(int number);
    Task<void> adopt(int number);
    Task<void> tend(int number, bool mayAdopt);
    Task<void> tendHeld(int number);
    /// \brief Releases range \a number, on whose strand it runs; false if it is busy.
    Task<bool> release(int number);
    Task<void> settleAll(int number);
    Task<void> settleOne(RangePtr range, wire::BookingRecord record);
    bool isDue(Watch &watch, const wire::BookingRecord &record) const;
    bool hasMembershipChanged();

    Executor m_executor;
    RangeTable &m_ranges;
    RelayBookingClient &m_slots;
    const MembershipView &m_membership;
    Metrics &m_metrics;
    const BookingOptions m_options;
    UnsettledList m_unsettled;
    std::array<Watch, bookingRangeCount> m_watches;
    std::atomic<TimePoint> m_nextAdoption = TimePoint{};
    std::string m_members; ///< ids and states of the members in the last round
};

} // namespace gwt
