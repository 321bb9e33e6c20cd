#include "relay/commands/ReservationTable.h"

#include <algorithm>
#include <charconv>

namespace gwt {

namespace {

/// \brief Parses a reservation id; returns 0, which is never assigned, if it is malformed.
std::uint64_t parseNumber(const std::string &id)
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
    ++m_lastNumber;
    m_reservations.emplace(m_lastNumber, Reservation{std::move(lease), expiry});
    return std::to_string(m_lastNumber);
}

Outcome<SlotLease> ReservationTable::consume(const std::string &id, TimePoint now)
{
    const Number number = parseNumber(id);
    const std::lock_guard lock(m_mutex);
    const auto found = m_reservations.find(number);
    if (found == m_reservations.end()) {
        const bool mayHaveBeenUsed = m_executions.count(number) > 0 || number <= m_highestDropped;
        return mayHaveBeenUsed ? Error{ErrorCode::Unknown, "used_before", ""}
                               : Error{ErrorCode::NotRun, "no_such_reservation", ""};
    }
    if (found->second.expiry <= now)
        return Error{ErrorCode::NotRun, "no_such_reservation", "lapsed"};
    SlotLease lease = std::move(found->second.lease);
    m_reservations.erase(found);
    m_executions[number] = Execution{};
    return lease;
}

void ReservationTable::recordOutcome(const std::string &id, const wire::ExecuteReply &outcome,
                                     TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    m_executions[parseNumber(id)] = Execution{true, outcome, now};
}

void ReservationTable::withdraw(const std::string &id)
{
    SlotLease withdrawn; // destroyed after the lock is released
    const std::lock_guard lock(m_mutex);
    const auto found = m_reservations.find(parseNumber(id));
    if (found == m_reservations.end())
        return;
    withdrawn = std::move(found->second.lease);
    m_reservations.erase(found);
}

wire::ExecuteReply ReservationTable::outcome(const std::string &id)
{
    withdraw(id);
    const Number number = parseNumber(id);
    const std::lock_guard lock(m_mutex);
    const auto execution = m_executions.find(number);
    if (execution != m_executions.end())
        return execution->second.isFinished ? execution->second.outcome
                                            : outcomeOf(wire::UNKNOWN, "in_progress");
    const bool isProvenUnused = number > m_highestDropped && number <= m_lastNumber;
    return isProvenUnused ? outcomeOf(wire::NOT_RUN, "reservation_unused")
                          : outcomeOf(wire::UNKNOWN, "forgotten");
}

void ReservationTable::expire(TimePoint now)
{
    std::vector<SlotLease> expired; // destroyed after the lock is released
    const std::lock_guard lock(m_mutex);
    for (auto entry = m_reservations.begin(); entry != m_reservations.end();) {
        if (entry->second.expiry > now) {
            ++entry;
            continue;
        }
        expired.push_back(std::move(entry->second.lease));
        entry = m_reservations.erase(entry);
    }
    for (auto entry = m_executions.begin(); entry != m_executions.end();) {
        const Execution &execution = entry->second;
        if (!execution.isFinished || execution.finishedAt + m_retention > now) {
            ++entry;
            continue;
        }
        m_highestDropped = std::max(m_highestDropped, entry->first);
        entry = m_executions.erase(entry);
    }
}

std::size_t ReservationTable::size() const
{
    const std::lock_guard lock(m_mutex);
    return m_reservations.size();
}

} // namespace gwt
