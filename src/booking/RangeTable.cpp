#include "booking/RangeTable.h"

#include "membership/Ownership.h"

#include <algorithm>

namespace gwt {

RangeTable::RangeTable(const Executor &executor, ObjectStore &store,
                       const MembershipView &membership, Metrics &metrics, RangeHolder self,
                       BookingOptions options)
    : m_membership(membership)
    , m_self(std::move(self))
{
    const TakeoverPredicate rule
        = [this](const std::string &holder) { return mayTakeOverFrom(holder); };
    for (int number = 0; number < bookingRangeCount; ++number) {
        m_ranges[number] = std::make_shared<BookingRange>(asio::make_strand(executor), store,
                                                          metrics, number, m_self, options, rule);
    }
}

std::optional<Member> RangeTable::preferredHolder(int range) const
{
    const auto members = m_membership.members();
    const std::vector<Member> owners = ownersOf(journalKey(range), "", Role::Booking, *members, 1);
    if (owners.empty())
        return std::nullopt;
    return owners.front();
}

bool RangeTable::isPreferredHolder(int range) const
{
    const std::optional<Member> owner = preferredHolder(range);
    return owner && owner->id == m_self.id;
}

bool RangeTable::mayTakeOverFrom(const std::string &holder) const
{
    const auto members = m_membership.members();
    return std::none_of(members->begin(), members->end(), [&](const Member &member) {
        const bool isDeadOrLeaving
            = member.state == MemberState::Dead || member.state == MemberState::Leaving;
        return member.id == holder && !isDeadOrLeaving;
    });
}

int RangeTable::heldCount() const
{
    return static_cast<int>(std::count_if(m_ranges.begin(), m_ranges.end(),
                                          [](const auto &range) { return range->isHeld(); }));
}

} // namespace gwt
