#include "relay/commands/ReservationTable.h"

#include <algorithm>
#include <charconv>

namespace gwt {

namespace {

/// \brief Parses a reservation id; returns 0, which is never assigned, if it is malformed.
std::uint64_t numberOf(const std::string &id)
{
    std::uint64_t number = 0;
    const char *const end = id.data() + id.size();
    const auto [parsed, failure] = std::from_chars(id.data(), end, number);
    return failure == std::errc() && parsed == end ? number : 0;
}

wire::ExecuteReply outcomeOf(wire::RunState state, const std::string &reason)
{
    wire::ExecuteReply outcome;
    outcome.set_state(state);
    outcome.set_reason(reason);
    return outcome;
}

} // namespace

ReservationTable::ReservationTable(Duration retention)
    : m_incarnation(makeUniqueId())
    , m_retention(retention)
{ }

std::string ReservationTable::add(SlotLease lease, TimePoint expiry)
{
    const std::lock_guard lock(m_mutex);
    ++m_last;
    m_reservations.emplace(m_last, Reservation{std::move(lease), expiry});
    return std::to_string(m_last);
}

Outcome<SlotLease> ReservationTable::consume(const std::string &id, TimePoint now)
{
    const Number number = numberOf(id);
    const std::lock_guard lock(m_mutex);
    const auto found = m_reservations.find(number);
    if (found == m_reservations.end()) {
        const bool mayBeUsed = m_uses.count(number) > 0 || number <= m_highestForgotten;
        return mayBeUsed ? Error{ErrorCode::Unknown, "used_before", ""}
                         : Error{ErrorCode::NotRun, "no_such_reservation", ""};
    }
    if (found->second.expiry <= now)
        return Error{ErrorCode::NotRun, "no_such_reservation", "lapsed"};
    SlotLease lease = std::move(found->second.lease);
    m_reservations.erase(found);
    m_uses[number] = Use{};
    return lease;
}

void ReservationTable::recordOutcome(const std::string &id, const wire::ExecuteReply &outcome,
                                     TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    m_uses[numberOf(id)] = Use{true, outcome, now};
}

void ReservationTable::withdraw(const std::string &id)
{
    SlotLease given; // destroyed after the lock is released
    const std::lock_guard lock(m_mutex);
    const auto found = m_reservations.find(numberOf(id));
    if (found == m_reservations.end())
        return;
    given = std::move(found->second.lease);
    m_reservations.erase(found);
}

wire::ExecuteReply ReservationTable::outcome(const std::string &id)
{
    withdraw(id);
    const Number number = numberOf(id);
    const std::lock_guard lock(m_mutex);
    const auto execution = m_uses.find(number);
    if (execution != m_uses.end())
        return execution->second.isFinished ? execution->second.outcome
                                            : outcomeOf(wire::UNKNOWN, "in_progress");
    const bool isRemembered = number > m_highestForgotten && number <= m_last;
    return isRemembered ? outcomeOf(wire::NOT_RUN, "reservation_unused")
                        : outcomeOf(wire::UNKNOWN, "forgotten");
}

void ReservationTable::expire(TimePoint now)
{
    std::vector<SlotLease> lapsed; // destroyed after the lock is released
    const std::lock_guard lock(m_mutex);
    for (auto entry = m_reservations.begin(); entry != m_reservations.end();) {
        if (entry->second.expiry > now) {
            ++entry;
            continue;
        }
        lapsed.push_back(std::move(entry->second.lease));
        entry = m_reservations.erase(entry);
    }
    for (auto entry = m_uses.begin(); entry != m_uses.end();) {
        const Use &execution = entry->second;
        if (!execution.isFinished || execution.finished + m_retention > now) {
            ++entry;
            continue;
        }
        m_highestForgotten = std::max(m_highestForgotten, entry->first);
        entry = m_uses.erase(entry);
    }
}

std::size_t ReservationTable::size() const
{
    const std::lock_guard lock(m_mutex);
    return m_reservations.size();
}

} // namespace gwt
