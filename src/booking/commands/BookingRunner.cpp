#include "booking/commands/BookingRunner.h"

#include "common/Log.h"

#include <algorithm>

namespace gwt {

namespace {

constexpr Milliseconds minTimeToSend{20}; ///< with less time left, a booking is not sent

std::uint64_t wallTimeMs()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(now).count());
}

wire::BookingRecord makeSentRecord(const wire::BookRequest &request, const ReservedSlot &slot,
                                   const wire::BookingRecord *earlier)
{
    wire::BookingRecord record;
    record.set_key(request.key());
    record.set_digest(request.digest());
    record.set_attempt(request.attempt());
    record.set_service(request.service());
    record.set_state(wire::BookingRecord::SENT);
    record.set_time_ms(wallTimeMs());
    record.set_relay(toString(slot.relay));
    record.set_reservation(slot.reservation);
    record.set_relay_incarnation(slot.incarnation);
    if (earlier)
        *record.mutable_refused_attempts() = earlier->refused_attempts();
    return record;
}

wire::BookReply replyForDecision(BookingDecision decision, const wire::BookingRecord &record)
{
    switch (decision) {
    case BookingDecision::AttemptRefused:
        return notRunReply("refused_before");
    case BookingDecision::KeyReused:
        return notRunReply("key_used_for_another_booking");
    case BookingDecision::TooManyAttempts:
        return notRunReply("too_many_attempts");
    default:
        return replyFromRecord(record);
    }
}

} // namespace

void setOutcome(wire::BookingRecord &record, const wire::ExecuteReply &outcome)
{
    record.set_time_ms(wallTimeMs());
    record.set_reason(outcome.reason());
    if (outcome.state() == wire::NOT_RUN) {
        record.set_state(wire::BookingRecord::NOT_RUN);
        record.add_refused_attempts(record.attempt());
        return;
    }
    record.set_state(wire::BookingRecord::DONE);
    if (outcome.result().size() <= maxKeptResultBytes)
        record.set_result(outcome.result());
    else
        record.set_reason("result_too_large_to_keep");
}

BookingRunner::BookingRunner(RangeRouter &router, RelayBookingClient &relays, Metrics &metrics,
                             BookingOptions options)
    : m_router(router)
    , m_relays(relays)
    , m_metrics(metrics)
    , m_options(options)
{ }

Task<wire::BookReply> BookingRunner::book(wire::BookRequest request, TimePoint deadline)
{
    const RangeRouter::Handler<wire::BookRequest> handle
        = [this](RangePtr range, wire::BookRequest routed, TimePoint end) {
              return bookOnRange(std::move(range), std::move(routed), end);
          };
    co_return countOutcome(co_await m_router.route("/booking/book", std::move(request), deadline,
                                                   wire::NOT_RUN, handle));
}

Task<wire::BookReply> BookingRunner::bookOnRange(RangePtr range, wire::BookRequest request,
                                                 TimePoint deadline)
{
    const std::string key = request.key();
    while (range->activeKeys().contains(key)) {
        if (range->activeKeys().digestOf(key) != request.digest())
            co_return notRunReply("key_used_for_another_booking");
        if (!co_await range->activeKeys().wait(key, deadline))
            co_return unknownReply("in_progress");
    }
    if (!range->isHeld())
        co_return rangeLostReply();
    const wire::BookingRecord *record = range->find(key);
    const BookingDecision decision = decideBooking(record, request);
    if (decision != BookingDecision::Run)
        co_return replyForDecision(decision, *record);
    range->activeKeys().begin(key, request.digest());
    wire::BookReply reply = co_await reserveAndSend(range, std::move(request), deadline);
    range->activeKeys().end(key);
    co_return reply;
}

Task<wire::BookReply> BookingRunner::reserveAndSend(RangePtr range, wire::BookRequest request,
                                                    TimePoint deadline)
{
    const RangeEpoch epoch = range->epoch();
    const Outcome<ReservedSlot> reserved = co_await m_relays.reserve(request, deadline);
    if (!isOk(reserved))
        co_return notRunReply(errorOf(reserved).reason);
    ReservedSlot slot = valueOf(reserved);
    if (!range->isHeld() || range->epoch() != epoch) {
        spawn(range->strand(), m_relays.release(slot));
        co_return rangeLostReply();
    }
    co_return co_await commitAndSend(range, std::move(request), std::move(slot), deadline);
}

Task<wire::BookReply> BookingRunner::commitAndSend(RangePtr range, wire::BookRequest request,
                                                   ReservedSlot slot, TimePoint deadline)
{
    const wire::BookingRecord record = makeSentRecord(request, slot, range->find(request.key()));
    if (!range->hasRoomFor(record)) {
        spawn(range->strand(), m_relays.release(slot));
        co_return notRunReply("journal_full");
    }
    const TimePoint sendDeadline = std::min(slot.expiresAt, deadline - minTimeToSend);
    const TimePoint commitDeadline = std::min(Clock::now() + m_options.commitTimeout, sendDeadline);
    const Outcome<Done> sent = co_await range->commit(record, range->epoch(), commitDeadline);
    if (!isOk(sent)) {
        spawn(range->strand(), m_relays.release(slot));
        if (errorOf(sent).reason == "range_lost")
            co_return rangeLostReply();
        co_return co_await recordNotSent(range, record, errorOf(sent).reason);
    }
    if (Clock::now() >= sendDeadline) {
        // The process was delayed: the reservation may have expired and the range may be lost.
        spawn(range->strand(), m_relays.release(slot));
        co_return co_await recordNotSent(range, record, "reservation_lapsed");
    }
    co_return co_await execute(range, std::move(request), std::move(slot), record, deadline);
}

Task<wire::BookReply> BookingRunner::recordNotSent(RangePtr range, wire::BookingRecord record,
                                                   std::string reason)
{
    wire::ExecuteReply refusal;
    refusal.set_state(wire::NOT_RUN);
    refusal.set_reason(reason);
    setOutcome(record, refusal);
    // The booking was not sent and will not be, so the caller need not wait for the write.
    co_await range->commitOutcome(record, Clock::now());
    co_return notRunReply(reason);
}

Task<wire::BookReply> BookingRunner::execute(RangePtr range, wire::BookRequest request,
                                             ReservedSlot slot, wire::BookingRecord record,
                                             TimePoint deadline)
{
    const wire::ExecuteReply outcome
        = co_await m_relays.execute(std::move(request), std::move(slot), deadline);
    if (outcome.state() != wire::DONE && outcome.state() != wire::NOT_RUN)
        co_return unknownReply(outcome.reason());
    setOutcome(record, outcome);
    const Outcome<Done> recorded
        = co_await range->commitOutcome(record, Clock::now() + m_options.commitTimeout);
    if (!isOk(recorded)) {
        m_metrics
            .counter("gwt_booking_outcomes_unrecorded_total",
                     "Outcomes returned to the caller before they were recorded",
                     {{"reason", errorOf(recorded).reason}})
            .Increment();
        logWarning("outcome_not_recorded",
                   {{"key", record.key()}, {"reason", errorOf(recorded).reason}});
    }
    wire::BookReply reply = replyFromRecord(record);
    reply.set_result(outcome.result());
    co_return reply;
}

wire::BookReply BookingRunner::countOutcome(wire::BookReply reply)
{
    static const std::map<int, std::string> names
        = {{wire::DONE, "done"}, {wire::NOT_RUN, "not_run"}, {wire::UNKNOWN, "unknown"}};
    const auto name = names.find(reply.state());
    m_metrics
        .counter("gwt_booking_outcomes_total", "Replies to bookings by outcome and reason",
                 {{"outcome", name == names.end() ? "invalid" : name->second},
                  {"reason", reply.reason()}})
        .Increment();
    return reply;
}

} // namespace gwt
