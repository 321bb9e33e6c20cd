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
constexpr Milliseconds minAskDelay{500};
constexpr Milliseconds maxAskDelay{30'000};
constexpr Milliseconds settleMargin{500}; ///< after the latest expiry of a reservation
constexpr Milliseconds releasePollInterval{20};
constexpr int roundsBeforeRelease = 8; ///< so that a transient membership view moves no range
constexpr int adoptionsPerRound = 32; ///< limits the reads from the store
constexpr Milliseconds adoptionRetryDelay{1000}; ///< after a failure of the store
/// Delay before a range held by another member is checked again: the time a release takes.
constexpr Milliseconds heldRetryDelay = roundInterval * roundsBeforeRelease;

} // namespace

RangeMaintainer::RangeMaintainer(Executor executor, RangeTable &ranges, RelayBookingClient &slots,
                                 const MembershipView &membership, Metrics &metrics,
                                 BookingOptions options)
    : m_executor(std::move(executor))
    , m_ranges(ranges)
    , m_slots(slots)
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
    return std::exchange(m_members, now) != now;
}

Task<void> RangeMaintainer::loop()
{
    while (true) {
        co_await sleepFor(roundInterval);
        if (hasMembershipChanged()) {
            for (Watch &watch : m_watches)
                watch.isUnchecked = true;
        }
        int adoptions = Clock::now() < m_nextAdoption.load() ? adoptionsPerRound : 0;
        for (int number = 0; number < bookingRangeCount; ++number) {
            const bool isHeld = m_ranges.range(number)->isHeld();
            const bool mayAdopt = !isHeld && adoptions < adoptionsPerRound && needsAdoption(number);
            adoptions += mayAdopt ? 1 : 0;
            if (isHeld || mayAdopt)
                spawn(m_ranges.range(number)->strand(), tend(number, mayAdopt));
            else
                m_unsettled.set(number, {});
        }
        m_metrics.gauge("gwt_booking_unsettled", "Bookings without an outcome in ranges held here")
            .Set(static_cast<double>(m_unsettled.all().size()));
    }
}

bool RangeMaintainer::needsAdoption(int number)
{
    Watch &watch = m_watches[number];
    if (watch.isUnchecked && !m_ranges.isPreferred(number))
        watch.isUnchecked = false;
    return watch.isUnchecked && Clock::now() >= watch.nextLook.load();
}

Task<void> RangeMaintainer::adopt(int number)
{
    Watch &watch = m_watches[number];
    watch.isUnchecked = false; // before the call, as the membership may change during it
    const Outcome<Done> adopted
        = co_await m_ranges.range(number)->adoptAbandoned(Clock::now() + storeTimeout);
    if (isOk(adopted))
        co_return;
    watch.isUnchecked = true;
    if (errorOf(adopted).code == ErrorCode::Conflict) {
        // Its holder may release it with unsettled bookings, and then no other member checks it.
        watch.nextLook = Clock::now() + heldRetryDelay;
        co_return;
    }
    m_nextAdoption = Clock::now() + adoptionRetryDelay;
    m_metrics
        .counter("gwt_booking_adoption_failures_total",
                 "Failed takeovers of abandoned ranges, which are retried",
                 {{"reason", errorOf(adopted).reason}})
        .Increment();
}

Task<void> RangeMaintainer::tend(int number, bool mayAdopt)
{
    const RangePtr range = m_ranges.range(number);
    Watch &watch = m_watches[number];
    if (watch.isWorking)
        co_return;
    watch.isWorking = true;
    if (!range->isHeld() && mayAdopt)
        co_await adopt(number);
    if (range->isHeld())
        co_await tendHeld(number);
    watch.isWorking = false;
}

Task<void> RangeMaintainer::tendHeld(int number)
{
    const RangePtr range = m_ranges.range(number);
    Watch &watch = m_watches[number];
    watch.roundsElsewhere = m_ranges.isPreferred(number) ? 0 : watch.roundsElsewhere + 1;
    if (watch.roundsElsewhere >= roundsBeforeRelease) {
        if (co_await release(number))
            co_return;
    }
    co_await settleAll(number);
    m_unsettled.set(number, range->unsettled());
}

Task<bool> RangeMaintainer::release(int number)
{
    const RangePtr range = m_ranges.range(number);
    Watch &watch = m_watches[number];
    const bool hasUnsettled = !range->unsettled().empty();
    if (!co_await range->release(Clock::now() + storeTimeout))
        co_return false;
    // The range is taken over again if this process turns out to be its preferred holder.
    watch.isUnchecked = watch.isUnchecked || hasUnsettled;
    watch.questions.clear();
    watch.roundsElsewhere = 0;
    m_unsettled.set(number, {});
    co_return true;
}

bool RangeMaintainer::isDue(Watch &watch, const wire::BookingRecord &record) const
{
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    const Milliseconds sent(record.time_ms());
    if (wall < sent + m_options.hold + settleMargin)
        return false;
    Question &question = watch.questions[record.attempt()];
    const TimePoint now = Clock::now();
    if (now < question.next)
        return false;
    question.delay = std::clamp<Duration>(question.delay * 2, minAskDelay, maxAskDelay);
    question.next = now + question.delay;
    return true;
}

Task<void> RangeMaintainer::settleAll(int number)
{
    const RangePtr range = m_ranges.range(number);
    const std::vector<wire::BookingRecord> unsettled = range->unsettled();
    if (unsettled.empty())
        m_watches[number].questions.clear();
    for (const wire::BookingRecord &record : unsettled) {
        const bool isActive = range->active().contains(record.key());
        if (!isActive && isDue(m_watches[number], record))
            co_await settleOne(range, record);
    }
}

Task<void> RangeMaintainer::settleOne(RangePtr range, wire::BookingRecord record)
{
    const wire::ExecuteReply outcome
        = co_await m_slots.outcome(record, Clock::now() + relayTimeout);
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
        = co_await range->settle(record, Clock::now() + m_options.commitTimeout);
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
