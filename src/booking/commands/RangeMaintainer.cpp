#include "booking/commands/RangeMaintainer.h"

#include "booking/commands/BookingRunner.h"
#include "common/Log.h"
#include "common/Sleep.h"

#include <algorithm>

namespace gwt {

namespace {

constexpr Milliseconds roundInterval{250};
constexpr Milliseconds storeTimeout{1000};
constexpr Milliseconds relayTimeout{1000};
constexpr Milliseconds minPollDelay{500};
constexpr Milliseconds maxPollDelay{30'000};
constexpr Milliseconds settleMargin{500}; ///< after the latest expiry of a reservation
constexpr Milliseconds releasePollInterval{20};
constexpr int roundsBeforeRelease = 8; ///< so that a transient membership view moves no range
constexpr int adoptionsPerRound = 32; ///< limits the reads from the store
constexpr Milliseconds adoptionRetryDelay{1000}; ///< after a failure of the store
/// Delay before a range held by another member is checked again: the time a release takes.
constexpr Milliseconds heldRetryDelay = roundInterval * roundsBeforeRelease;

} // namespace

RangeMaintainer::RangeMaintainer(Executor executor, RangeTable &ranges, RelayBookingClient &relays,
                                 const MembershipView &membership, Metrics &metrics,
                                 BookingOptions options)
    : m_executor(std::move(executor))
    , m_ranges(ranges)
    , m_relays(relays)
    , m_membership(membership)
    , m_metrics(metrics)
    , m_options(options)
{ }

void RangeMaintainer::start()
{
    spawn(asio::make_strand(m_executor), loop());
}

bool RangeMaintainer::hasMembershipChanged()
{
    std::string now;
    const auto members = m_membership.members();
    for (const Member &member : *members) {
        if (member.role == Role::Booking)
            now += member.id + "=" + std::string(toString(member.state)) + " ";
    }
    return std::exchange(m_lastMembers, now) != now;
}

Task<void> RangeMaintainer::loop()
{
    while (true) {
        co_await sleepFor(roundInterval);
        if (hasMembershipChanged()) {
            for (RangeState &rangeState : m_states)
                rangeState.needsCheck = true;
        }
        int adoptions = Clock::now() < m_nextAdoption.load() ? adoptionsPerRound : 0;
        for (int number = 0; number < bookingRangeCount; ++number) {
            const bool isHeld = m_ranges.range(number)->isHeld();
            const bool mayAdopt = !isHeld && adoptions < adoptionsPerRound && needsAdoption(number);
            adoptions += mayAdopt ? 1 : 0;
            if (isHeld || mayAdopt)
                spawn(m_ranges.range(number)->strand(), maintain(number, mayAdopt));
            else
                m_unsettled.set(number, {});
        }
        m_metrics.gauge("gwt_booking_unsettled", "Bookings without an outcome in ranges held here")
            .Set(static_cast<double>(m_unsettled.all().size()));
    }
}

bool RangeMaintainer::needsAdoption(int number)
{
    RangeState &rangeState = m_states[number];
    if (rangeState.needsCheck && !m_ranges.isPreferredHolder(number))
        rangeState.needsCheck = false;
    return rangeState.needsCheck && Clock::now() >= rangeState.nextCheck.load();
}

Task<void> RangeMaintainer::adopt(int number)
{
    RangeState &rangeState = m_states[number];
    rangeState.needsCheck = false; // before the call, as the membership may change during it
    const Outcome<Done> adopted
        = co_await m_ranges.range(number)->adoptAbandoned(Clock::now() + storeTimeout);
    if (isOk(adopted))
        co_return;
    rangeState.needsCheck = true;
    if (errorOf(adopted).code == ErrorCode::Conflict) {
        // Its holder may release it with unsettled bookings, and then no other member checks it.
        rangeState.nextCheck = Clock::now() + heldRetryDelay;
        co_return;
    }
    m_nextAdoption = Clock::now() + adoptionRetryDelay;
    m_metrics
        .counter("gwt_booking_adoption_failures_total",
                 "Failed attempts to adopt an abandoned range, which are retried",
                 {{"reason", errorOf(adopted).reason}})
        .Increment();
}

Task<void> RangeMaintainer::maintain(int number, bool mayAdopt)
{
    const RangePtr range = m_ranges.range(number);
    RangeState &rangeState = m_states[number];
    if (rangeState.isBusy)
        co_return;
    rangeState.isBusy = true;
    if (!range->isHeld() && mayAdopt)
        co_await adopt(number);
    if (range->isHeld())
        co_await maintainHeld(number);
    rangeState.isBusy = false;
}

Task<void> RangeMaintainer::maintainHeld(int number)
{
    const RangePtr range = m_ranges.range(number);
    RangeState &rangeState = m_states[number];
    rangeState.roundsNotPreferred
        = m_ranges.isPreferredHolder(number) ? 0 : rangeState.roundsNotPreferred + 1;
    if (rangeState.roundsNotPreferred >= roundsBeforeRelease) {
        if (co_await release(number))
            co_return;
    }
    co_await settleAll(number);
    m_unsettled.set(number, range->unsettled());
}

Task<bool> RangeMaintainer::release(int number)
{
    const RangePtr range = m_ranges.range(number);
    RangeState &rangeState = m_states[number];
    const bool hasUnsettled = !range->unsettled().empty();
    if (!co_await range->release(Clock::now() + storeTimeout))
        co_return false;
    // The range is taken over again if this process turns out to be its preferred holder.
    rangeState.needsCheck = rangeState.needsCheck || hasUnsettled;
    rangeState.outcomePolls.clear();
    rangeState.roundsNotPreferred = 0;
    m_unsettled.set(number, {});
    co_return true;
}

bool RangeMaintainer::schedulePollIfDue(RangeState &rangeState,
                                        const wire::BookingRecord &record) const
{
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    const Milliseconds sent(record.time_ms());
    if (wall < sent + m_options.hold + settleMargin)
        return false;
    OutcomePoll &poll = rangeState.outcomePolls[record.attempt()];
    const TimePoint now = Clock::now();
    if (now < poll.next)
        return false;
    poll.delay = std::clamp<Duration>(poll.delay * 2, minPollDelay, maxPollDelay);
    poll.next = now + poll.delay;
    return true;
}

Task<void> RangeMaintainer::settleAll(int number)
{
    const RangePtr range = m_ranges.range(number);
    const std::vector<wire::BookingRecord> unsettled = range->unsettled();
    if (unsettled.empty())
        m_states[number].outcomePolls.clear();
    for (const wire::BookingRecord &record : unsettled) {
        const bool isActive = range->activeKeys().contains(record.key());
        if (!isActive && schedulePollIfDue(m_states[number], record))
            co_await settleOne(range, record);
    }
}

Task<void> RangeMaintainer::settleOne(RangePtr range, wire::BookingRecord record)
{
    const wire::ExecuteReply outcome
        = co_await m_relays.queryOutcome(record, Clock::now() + relayTimeout);
    const bool isProven = outcome.state() == wire::DONE || outcome.state() == wire::NOT_RUN;
    m_metrics
        .counter("gwt_booking_settlements_total",
                 "Outcome queries to relays about unsettled bookings",
                 {{"reason", isProven ? "settled" : outcome.reason()}})
        .Increment();
    if (!isProven)
        co_return;
    setOutcome(record, outcome);
    const Outcome<Done> settled
        = co_await range->commitOutcome(record, Clock::now() + m_options.commitTimeout);
    logInfo("booking_settled",
            {{"key", record.key()},
             {"state", outcome.state() == wire::DONE ? "done" : "not_run"},
             {"recorded", isOk(settled)}});
}

Task<void> RangeMaintainer::releaseAll()
{
    while (true) {
        for (int number = 0; number < bookingRangeCount; ++number) {
            const RangePtr range = m_ranges.range(number);
            if (!range->isHeld())
                continue;
            co_await asio::co_spawn(range->strand(), release(number), asio::use_awaitable);
        }
        if (m_ranges.heldCount() == 0)
            co_return;
        co_await sleepFor(releasePollInterval);
    }
}

} // namespace gwt
