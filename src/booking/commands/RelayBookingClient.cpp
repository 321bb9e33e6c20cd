#include "booking/commands/RelayBookingClient.h"

#include "membership/OwnerCall.h"
#include "membership/Ownership.h"
#include "peer/PeerCodec.h"

namespace gwt {

namespace {

constexpr Milliseconds releaseTimeout{1000};

wire::ExecuteReply unknownOutcome(const std::string &reason)
{
    wire::ExecuteReply outcome;
    outcome.set_state(wire::UNKNOWN);
    outcome.set_reason(reason);
    return outcome;
}

bool isNotOwner(const wire::ReserveReply &reply)
{
    return !reply.granted() && reply.reason() == "not_owner";
}

} // namespace

RelayBookingClient::RelayBookingClient(const ConfigHolder &config, const MembershipView &membership,
                                       PeerClient &peers, BookingOptions options)
    : m_config(config)
    , m_membership(membership)
    , m_peers(peers)
    , m_options(options)
{ }

std::vector<Member> RelayBookingClient::relaysFor(const std::string &service) const
{
    const ConfigPtr config = m_config.current();
    const Service *known = config->service(service);
    if (!known)
        return {};
    return sliceOwnersToCall(known->slice, config->zoneOfSlice(known->slice),
                             *m_membership.members());
}

Task<Outcome<ReservedSlot>> RelayBookingClient::reserve(wire::BookRequest request,
                                                        TimePoint deadline)
{
    if (relaysFor(request.service()).empty())
        co_return Error{ErrorCode::NotRun, "no_relay", ""};
    wire::ReserveRequest reserve;
    reserve.set_request_id(request.request_id());
    reserve.set_service(request.service());
    reserve.set_rank(request.rank());
    reserve.set_hold_us(static_cast<std::uint64_t>(Microseconds(m_options.hold).count()));
    const std::function<std::vector<Member>()> relays
        = [this, service = request.service()] { return relaysFor(service); };
    const auto answer = co_await callOwner<wire::ReserveReply>(
        m_peers, relays, "/relay/reserve", reserve, request.request_id(), deadline, {}, isNotOwner);
    const Outcome<wire::ReserveReply> &reply = answer.reply;
    if (!isOk(reply))
        co_return Error{ErrorCode::NotRun, "relay_" + errorOf(reply).reason, ""};
    const wire::ReserveReply &granted = valueOf(reply);
    if (!granted.granted())
        co_return Error{ErrorCode::NotRun, granted.reason(), ""};
    ReservedSlot slot;
    slot.relay = answer.owner;
    slot.reservation = granted.reservation();
    slot.incarnation = granted.incarnation();
    slot.expiresAt = Clock::now() + m_options.hold;
    co_return slot;
}

Task<wire::ExecuteReply> RelayBookingClient::execute(wire::BookRequest request, ReservedSlot slot,
                                                     TimePoint deadline)
{
    wire::ExecuteRequest execute;
    execute.set_request_id(request.request_id());
    execute.set_reservation(slot.reservation);
    execute.set_incarnation(slot.incarnation);
    execute.set_service(request.service());
    execute.set_key(request.key());
    execute.set_attempt(request.attempt());
    execute.set_payload(request.payload());
    const auto executed = co_await callPeer<wire::ExecuteReply>(
        m_peers, slot.relay, "/relay/execute", std::move(execute), request.request_id(), deadline,
        {});
    if (isOk(executed))
        co_return valueOf(executed);
    wire::ExecuteReply outcome = unknownOutcome("relay_" + errorOf(executed).reason);
    if (provesNotRun(errorOf(executed).code))
        outcome.set_state(wire::NOT_RUN);
    co_return outcome;
}

Task<void> RelayBookingClient::release(ReservedSlot slot)
{
    wire::ReleaseRequest request;
    request.set_reservation(slot.reservation);
    const TimePoint deadline = Clock::now() + releaseTimeout;
    co_await callPeer<wire::ReleaseReply>(m_peers, slot.relay, "/relay/release", std::move(request),
                                          "", deadline, {});
}

Task<wire::ExecuteReply> RelayBookingClient::queryOutcome(wire::BookingRecord record,
                                                          TimePoint deadline)
{
    const Outcome<Endpoint> relay = parseEndpoint(record.relay());
    if (!isOk(relay))
        co_return unknownOutcome("no_relay");
    wire::OutcomeRequest request;
    request.set_reservation(record.reservation());
    request.set_incarnation(record.relay_incarnation());
    const auto reply = co_await callPeer<wire::ExecuteReply>(
        m_peers, valueOf(relay), "/relay/outcome", std::move(request), "", deadline, {});
    if (isOk(reply))
        co_return valueOf(reply);
    co_return unknownOutcome("relay_" + errorOf(reply).reason);
}

} // namespace gwt
