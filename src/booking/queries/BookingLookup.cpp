#include "booking/queries/BookingLookup.h"

namespace gwt {

namespace {

constexpr const char *refusalReason = "refused_after_lost_reply";

wire::BookReply replyForCommitError(const Error &error)
{
    if (error.reason == "range_lost")
        return rangeLostReply();
    return unknownReply(error.reason);
}

wire::BookRequest makeAttemptRequest(const wire::BookLookupRequest &request)
{
    wire::BookRequest attempt;
    attempt.set_key(request.key());
    attempt.set_attempt(request.refuse_attempt());
    attempt.set_digest(request.digest());
    return attempt;
}

wire::BookingRecord makeRefusal(const wire::BookLookupRequest &request,
                                const wire::BookingRecord *earlier)
{
    wire::BookingRecord record;
    if (earlier)
        record = *earlier;
    record.set_key(request.key());
    record.set_digest(request.digest());
    record.set_attempt(request.refuse_attempt());
    record.set_state(wire::BookingRecord::NOT_RUN);
    record.set_reason(refusalReason);
    record.add_refused_attempts(request.refuse_attempt());
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    record.set_time_ms(
        static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(now).count()));
    return record;
}

} // namespace

BookingLookup::BookingLookup(RangeRouter &router, Metrics &metrics)
    : m_router(router)
    , m_metrics(metrics)
{ }

Task<wire::BookReply> BookingLookup::lookUp(wire::BookLookupRequest request, TimePoint deadline)
{
    const RangeRouter::Handler<wire::BookLookupRequest> handle
        = [this](RangePtr range, wire::BookLookupRequest routed, TimePoint end) {
              return lookUpOnRange(std::move(range), std::move(routed), end);
          };
    co_return co_await m_router.route("/booking/lookup", std::move(request), deadline,
                                      wire::UNKNOWN, handle);
}

Task<wire::BookReply> BookingLookup::lookUpOnRange(RangePtr range, wire::BookLookupRequest request,
                                                   TimePoint deadline)
{
    const std::string key = request.key();
    while (range->activeKeys().contains(key)) {
        if (!co_await range->activeKeys().wait(key, deadline))
            co_return unknownReply("in_progress");
    }
    if (!range->isHeld())
        co_return rangeLostReply();
    if (!request.refuse_attempt().empty())
        co_return co_await refuseAttempt(std::move(range), std::move(request), deadline);
    const wire::BookingRecord *record = range->find(key);
    const bool mayChange = !record || record->state() == wire::BookingRecord::NOT_RUN;
    if (!mayChange)
        co_return replyFromRecord(*record);
    // Another process may have acquired the range while this one was paused: only a successful
    // update proves that these records are current.
    const Outcome<Done> confirmed = co_await range->verifyHeld(deadline);
    if (!isOk(confirmed))
        co_return replyForCommitError(errorOf(confirmed));
    if (range->activeKeys().contains(key))
        co_return unknownReply("in_progress");
    record = range->find(key);
    co_return record ? replyFromRecord(*record) : notRunReply("no_record");
}

Task<wire::BookReply> BookingLookup::refuseAttempt(RangePtr range, wire::BookLookupRequest request,
                                                   TimePoint deadline)
{
    const wire::BookingRecord *record = range->find(request.key());
    switch (decideBooking(record, makeAttemptRequest(request))) {
    case BookingDecision::ReplyFromRecord:
        co_return replyFromRecord(*record);
    case BookingDecision::KeyReused:
        co_return notRunReply("key_used_for_another_booking");
    case BookingDecision::TooManyAttempts:
        co_return unknownReply("too_many_attempts");
    case BookingDecision::AttemptRefused:
        break;
    case BookingDecision::Run: {
        wire::BookingRecord refusal = makeRefusal(request, record);
        if (!range->hasRoomFor(refusal))
            co_return unknownReply("journal_full");
        m_metrics
            .counter("gwt_booking_refusals_total", "Attempts refused after their reply was lost")
            .Increment();
        const Outcome<Done> refused
            = co_await range->commit(std::move(refusal), range->epoch(), deadline);
        if (!isOk(refused))
            co_return replyForCommitError(errorOf(refused));
        co_return notRunReply(refusalReason);
    }
    }
    const Outcome<Done> confirmed = co_await range->verifyHeld(deadline);
    if (!isOk(confirmed))
        co_return replyForCommitError(errorOf(confirmed));
    co_return notRunReply(refusalReason);
}

} // namespace gwt
