#pragma once

#include "booking/RangeTable.h"
#include "booking/UnsettledList.h"
#include "booking/commands/SlotReservation.h"

#include <array>
#include <atomic>
#include <map>

namespace gwt {

/// \brief Looks after the ranges: settles bookings without an outcome, takes over abandoned ranges
/// and hands over those that another member should hold.
class RangeKeeper
{
public:
    RangeKeeper(Executor executor, RangeTable &ranges, SlotReservation &slots,
                const MembershipView &membership, Metrics &metrics, BookingOptions options);

    /// \brief Starts to look after the ranges, until the executor stops.
    void start();
    /// \brief Releases all ranges; returns once none is held.
    Task<void> releaseAll();
    const UnsettledList &unsettled() const { return m_unsettled; }

private:
    /// \brief When a relay is to be asked again for the outcome of a booking.
    struct Question
    {
        TimePoint next;
        Duration delay{0};
    };

    /// \brief What is remembered of a range between two rounds; used on its strand, but for the
    /// atomics.
    struct Watch
    {
        std::atomic<bool> isUnchecked = false; ///< its holder may have gone since it was looked at
        std::atomic<TimePoint> nextLook = TimePoint{}; ///< not to be looked at before
        std::map<std::string, Question> questions; ///< by attempt
        int roundsElsewhere = 0; ///< rounds in which another member was preferred
        bool isWorking = false;
    };

    Task<void> loop();
    /// \brief True if this process should look whether \a number was abandoned.
    bool needsAdoption(int number);
    Task<void> adopt(int number);
    Task<void> tend(int number, bool mayAdopt);
    Task<void> tendHeld(int number);
    /// \brief Releases range \a number, on whose strand it runs; false if it is in use.
    Task<bool> release(int number);
    Task<void> settleAll(int number);
    Task<void> settleOne(RangePtr range, wire::BookingRecord record);
    bool isDue(Watch &watch, const wire::BookingRecord &record) const;
    bool hasMembershipChanged();

    Executor m_executor;
    RangeTable &m_ranges;
    SlotReservation &m_slots;
    const MembershipView &m_membership;
    Metrics &m_metrics;
    const BookingOptions m_options;
    UnsettledList m_unsettled;
    std::array<Watch, bookingRangeCount> m_watches;
    std::atomic<TimePoint> m_nextAdoption = TimePoint{};
    std::string m_members; ///< ids and states seen in the last round
};

} // namespace gwt
