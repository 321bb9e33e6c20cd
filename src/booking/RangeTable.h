#pragma once

#include "booking/BookingRange.h"
#include "control/BookingKeys.h"
#include "membership/Member.h"

#include <array>
#include <memory>

namespace gwt {

using RangePtr = std::shared_ptr<BookingRange>;

/// \brief All ranges and their preferred holders.
class RangeTable
{
public:
    RangeTable(const Executor &executor, ObjectStore &store, const MembershipView &membership,
               Metrics &metrics, RangeHolder self, BookingOptions options);

    RangePtr range(int number) const { return m_ranges[number]; }
    const RangeHolder &self() const { return m_self; }

    /// \brief The member that owns \a range by the membership view; nullopt if there is none.
    std::optional<Member> preferredHolder(int range) const;
    /// \brief True if this process should hold \a range.
    bool isPreferredHolder(int range) const;
    /// \brief True unless \a holder is a member that is neither dead nor leaving.
    bool mayTakeOverFrom(const std::string &holder) const;
    int heldCount() const;

private:
    const MembershipView &m_membership;
    RangeHolder m_self;
    std::array<RangePtr, bookingRangeCount> m_ranges;
};

} // namespace gwt
