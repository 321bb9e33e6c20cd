#include "entry/commands/BookingService.h"

#include "common/Random.h"
#include "control/BookingKeys.h"
#include "entry/ApiError.h"
#include "entry/commands/BookingResponse.h"
#include "membership/Ownership.h"
#include "peer/PeerCodec.h"

#include <xxhash.h>

namespace gwt {

namespace {

constexpr Milliseconds bookingTimeout{5000};
constexpr Milliseconds lookupTimeout{2000};
constexpr std::size_t maxHoldersTried = 2;
constexpr const char *holderLost = "holder_lost";

wire::BookReply makeReply(wire::RunState state, const std::string &reason)
{
    wire::BookReply reply;
    reply.set_state(state);
    reply.set_reason(reason);
    return reply;
}

wire::BookRequest toMessage(const BookingBody &booking, const std::string &key,
                            const std::string &requestId)
{
    wire::BookRequest message;
    message.set_key(key);
    message.set_digest(bookingDigest(booking.index, booking.service, booking.payload));
    message.set_index(booking.index);
    message.set_service(booking.service);
    message.set_rank(booking.rank);
    message.set_payload(booking.payload);
    message.set_attempt(requestId);
    message.set_request_id(requestId);
    return message;
}

} // namespace

BookingService::BookingService(const ConfigHolder &config, const MembershipView &membership,
                               PeerClient &peers, Metrics &metrics)
    : m_config(config)
    , m_membership(membership)
    , m_peers(peers)
    , m_metrics(metrics)
{ }

std::vector<Endpoint> BookingService::candidateHolders(const std::string &key) const
{
    const auto members = m_membership.members();
    std::vector<Endpoint> holders;
    for (const Member &owner :
         ownersOf(journalKey(bookingRangeOf(key)), "", Role::Booking, *members, maxHoldersTried))
        holders.push_back(owner.peerAddress);
    return holders;
}

std::optional<HttpResponse> BookingService::resolveTarget(BookingBody &booking,
                                                          const std::string &key,
                                                          const std::string &requestId) const
{
    const ConfigPtr config = m_config.current();
    const auto &services = config->servicesOfIndex(booking.index);
    if (services.empty())
        return apiError(404, "unknown_index", booking.index, RunStatus::NotRun, requestId);
    if (!config->rank(booking.rank))
        return apiError(404, "unknown_rank", booking.rank, RunStatus::NotRun, requestId);
    if (booking.service.empty())
        booking.service = services[XXH3_64bits(key.data(), key.size()) % services.size()];
    if (!config->service(booking.service))
        return apiError(404, "unknown_service", booking.service, RunStatus::NotRun, requestId);
    return std::nullopt;
}

Task<HttpResponse> BookingService::book(HttpRequest request)
{
    const std::string requestId = makeUniqueId();
    const std::string key = request.header("idempotency-key");
    if (key.empty()) {
        co_return apiError(400, "missing_key", "the header Idempotency-Key is required",
                           RunStatus::NotRun, requestId);
    }
    if (!isValidBookingKey(key)) {
        co_return apiError(400, "bad_key",
                           "Idempotency-Key must have 1 to 200 visible ASCII characters without "
                           "/ % ? #",
                           RunStatus::NotRun, requestId);
    }
    Outcome<BookingBody> parsed = parseBookingBody(request.body);
    if (!isOk(parsed)) {
        co_return apiError(400, errorOf(parsed).reason, errorOf(parsed).detail, RunStatus::NotRun,
                           requestId);
    }
    std::optional<HttpResponse> error = resolveTarget(valueOf(parsed), key, requestId);
    if (error)
        co_return std::move(*error);
    const wire::BookReply reply
        = co_await forwardBooking(toMessage(valueOf(parsed), key, requestId));
    countBooking(reply);
    co_return bookingResponse(key, requestId, reply);
}

Task<wire::BookReply> BookingService::forwardBooking(wire::BookRequest message)
{
    const TimePoint deadline = Clock::now() + bookingTimeout;
    for (const Endpoint &holder : candidateHolders(message.key())) {
        const auto reply = co_await callPeer<wire::BookReply>(
            m_peers, holder, "/booking/book", message, message.request_id(), deadline, {});
        const bool isAnswered = isOk(reply) && valueOf(reply).reason() != holderLost;
        if (isAnswered)
            co_return valueOf(reply);
        const bool hasNotRun = !isOk(reply) && provesNotRun(errorOf(reply).code);
        if (!hasNotRun)
            co_return co_await resolveLostReply(std::move(message));
    }
    co_return makeReply(wire::NOT_RUN, "holder_unreachable");
}

Task<wire::BookReply> BookingService::resolveLostReply(wire::BookRequest message)
{
    // A delayed copy of the request may still run; only a refusal in the journal proves that it
    // won't.
    m_metrics
        .counter("gwt_entry_booking_replies_lost_total",
                 "Replies of the booking role that were lost")
        .Increment();
    wire::BookLookupRequest lookup;
    lookup.set_key(message.key());
    lookup.set_digest(message.digest());
    lookup.set_refuse_attempt(message.attempt());
    co_return co_await queryState(std::move(lookup), message.request_id());
}

Task<wire::BookReply> BookingService::queryState(wire::BookLookupRequest message,
                                                 std::string requestId)
{
    const TimePoint deadline = Clock::now() + lookupTimeout;
    for (const Endpoint &holder : candidateHolders(message.key())) {
        const auto reply = co_await callPeer<wire::BookReply>(m_peers, holder, "/booking/lookup",
                                                              message, requestId, deadline, {});
        if (isOk(reply))
            co_return valueOf(reply);
    }
    co_return makeReply(wire::UNKNOWN, holderLost);
}

void BookingService::countBooking(const wire::BookReply &reply)
{
    const bool isSettled = reply.state() != wire::UNKNOWN;
    m_metrics
        .counter("gwt_entry_bookings_total", "Bookings answered to callers",
                 {{"outcome", isSettled ? "settled" : "unsettled"}, {"reason", reply.reason()}})
        .Increment();
}

Task<HttpResponse> BookingService::lookUp(std::string key)
{
    const std::string requestId = makeUniqueId();
    wire::BookLookupRequest message;
    message.set_key(key);
    const wire::BookReply reply = co_await queryState(std::move(message), requestId);
    co_return bookingLookupResponse(key, requestId, reply);
}

} // namespace gwt
