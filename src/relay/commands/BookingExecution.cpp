#include "relay/commands/BookingExecution.h"

namespace gwt {

namespace {

constexpr std::chrono::minutes outcomeRetention{10};
constexpr Microseconds maxHold = std::chrono::minutes(1);
const std::string otherIncarnation = "other_incarnation";

} // namespace

BookingExecution::BookingExecution(const ConfigHolder &config, ServiceTable &services,
                                   BackendClient &backends)
    : m_config(config)
    , m_services(services)
    , m_backends(backends)
    , m_reservations(outcomeRetention)
{ }

Task<wire::ReserveReply> BookingExecution::reserve(wire::ReserveRequest request, TimePoint deadline,
                                                   CancelToken cancel)
{
    wire::ReserveReply reply;
    reply.set_incarnation(m_reservations.incarnation());
    const auto found = m_services.find(request.service());
    if (!isOk(found)) {
        reply.set_reason(errorOf(found).reason);
        co_return reply;
    }
    const std::shared_ptr<ServiceDispatcher> dispatcher = valueOf(found);
    const ConfigPtr config = m_config.current();
    QueuedAttempt queued
        = QueuedAttempt::of(request.rank(), config->rank(request.rank()), deadline);
    Outcome<SlotLease> lease = co_await dispatcher->acquire(std::move(queued), cancel);
    if (!isOk(lease)) {
        reply.set_reason(errorOf(lease).reason);
        co_return reply;
    }
    const std::uint64_t hold = std::min<std::uint64_t>(request.hold_us(), maxHold.count());
    const TimePoint expiry = Clock::now() + Microseconds(hold);
    reply.set_reservation(m_reservations.add(std::move(valueOf(lease)), expiry));
    reply.set_granted(true);
    co_return reply;
}

Task<wire::ExecuteReply> BookingExecution::execute(wire::ExecuteRequest request, TimePoint deadline)
{
    wire::ExecuteReply reply;
    reply.set_state(wire::UNKNOWN);
    if (request.incarnation() != m_reservations.incarnation()) {
        reply.set_reason(otherIncarnation);
        co_return reply;
    }
    Outcome<SlotLease> lease = m_reservations.consume(request.reservation(), Clock::now());
    if (!isOk(lease)) {
        reply.set_state(provesNotRun(errorOf(lease).code) ? wire::NOT_RUN : wire::UNKNOWN);
        reply.set_reason(errorOf(lease).reason);
        co_return reply;
    }
    const std::string reservation = request.reservation();
    reply = co_await send(std::move(valueOf(lease)), std::move(request), deadline);
    m_reservations.recordOutcome(reservation, reply, Clock::now());
    co_return reply;
}

Task<wire::ExecuteReply> BookingExecution::send(SlotLease lease, wire::ExecuteRequest request,
                                                TimePoint deadline)
{
    wire::ExecuteReply reply;
    const BackendBookingRequest booking{request.request_id(), request.key(), request.attempt(),
                                        request.service(), request.payload()};
    const TimePoint start = Clock::now();
    const Outcome<std::string> result = co_await m_backends.book(lease.server(), booking, deadline);
    if (isOk(result)) {
        lease.release(AttemptOutcome::Answered, Clock::now() - start);
        reply.set_state(wire::DONE);
        reply.set_result(valueOf(result));
        co_return reply;
    }
    const ErrorCode code = errorOf(result).code;
    const bool isServerLost = code == ErrorCode::Unavailable || code == ErrorCode::Unknown;
    lease.release(isServerLost ? AttemptOutcome::Failed : AttemptOutcome::Neutral,
                  Clock::now() - start);
    reply.set_state(provesNotRun(code) ? wire::NOT_RUN : wire::UNKNOWN);
    reply.set_reason(errorOf(result).reason);
    co_return reply;
}

wire::ReleaseReply BookingExecution::release(const wire::ReleaseRequest &request)
{
    m_reservations.withdraw(request.reservation());
    return {};
}

wire::ExecuteReply BookingExecution::outcome(const wire::OutcomeRequest &request)
{
    if (request.incarnation() == m_reservations.incarnation())
        return m_reservations.outcome(request.reservation());
    wire::ExecuteReply reply;
    reply.set_state(wire::UNKNOWN);
    reply.set_reason(otherIncarnation);
    return reply;
}

} // namespace gwt
