#include "relay/RelayRole.h"

#include "common/Sleep.h"
#include "peer/PeerCodec.h"

namespace gwt {

namespace {

constexpr std::size_t maxIdleConnections = 8;
constexpr Milliseconds maintenanceInterval{50};
constexpr Milliseconds hostListInterval{1000};
constexpr Milliseconds hostListTimeout{2000};
/// \brief How long a member stays marked as terminated; the membership takes about as long to
/// propagate a death to all members.
constexpr Milliseconds terminatedOwnerTtl{5000};

} // namespace

RelayRole::RelayRole(DaemonServices &services, RelayOptions options)
    : m_daemon(services)
    , m_members(services.membership, terminatedOwnerTtl)
    , m_ownership(m_members, services.options.peer)
    , m_takeover(services.config, m_ownership, m_members, services.peerClient, services.metrics)
    , m_services(services.config, m_ownership, options, services.metrics)
    , m_connections(services.pool.executor(), services.metrics, maxIdleConnections)
    , m_backends(m_connections)
    , m_search(services.pool.executor(), services.config, m_services, m_backends, services.metrics,
               options.extraLoadShare)
    , m_bookings(services.config, m_services, m_backends)
{ }

Outcome<Done> RelayRole::start()
{
    PeerServer &server = m_daemon.peerServer;
    server.route("/relay/search",
                 peerHandler<wire::SliceSearchRequest, wire::SliceSearchReply>(
                     [this](wire::SliceSearchRequest request, PeerRequest raw) {
                         return search(std::move(request), std::move(raw));
                     }));
    server.route("/relay/reserve",
                 peerHandler<wire::ReserveRequest, wire::ReserveReply>(
                     [this](wire::ReserveRequest request, PeerRequest raw) {
                         return reserve(std::move(request), std::move(raw));
                     }));
    server.route("/relay/execute",
                 peerHandler<wire::ExecuteRequest, wire::ExecuteReply>(
                     [this](wire::ExecuteRequest request, PeerRequest raw) {
                         return m_bookings.execute(std::move(request), raw.deadline);
                     }));
    server.route("/relay/release",
                 peerHandler<wire::ReleaseRequest, wire::ReleaseReply>(
                     [this](wire::ReleaseRequest request, PeerRequest) -> Task<wire::ReleaseReply> {
                         co_return m_bookings.release(request);
                     }));
    server.route("/relay/outcome",
                 peerHandler<wire::OutcomeRequest, wire::ExecuteReply>(
                     [this](wire::OutcomeRequest request, PeerRequest) -> Task<wire::ExecuteReply> {
                         co_return m_bookings.outcome(request);
                     }));
    spawn(m_daemon.pool.strand(), runMaintenance());
    spawn(m_daemon.pool.strand(), pollHostList());
    return Done{};
}

Task<wire::SliceSearchReply> RelayRole::search(wire::SliceSearchRequest request, PeerRequest raw)
{
    if (request.services_size() > 0)
        co_await m_takeover.check(request.services(0));
    co_return co_await m_search.run(std::move(request), raw.deadline, raw.cancel);
}

Task<wire::ReserveReply> RelayRole::reserve(wire::ReserveRequest request, PeerRequest raw)
{
    co_await m_takeover.check(request.service());
    co_return co_await m_bookings.reserve(std::move(request), raw.deadline, raw.cancel);
}

Task<void> RelayRole::runMaintenance()
{
    while (true) {
        co_await sleepFor(maintenanceInterval);
        m_bookings.expire();
        m_services.tick();
        m_connections.trim();
    }
}

Task<void> RelayRole::pollHostList()
{
    while (true) {
        const auto hosts = co_await m_daemon.hostList.hosts(Clock::now() + hostListTimeout);
        if (isOk(hosts)) {
            std::vector<std::string> leaving;
            for (const Host &host : valueOf(hosts)) {
                const bool isOurs = host.name.rfind(m_daemon.options.hostPrefix, 0) == 0;
                if (!isOurs && host.state == HostState::Leaving)
                    leaving.push_back(host.address);
            }
            m_services.setLeaving(std::move(leaving));
        }
        co_await sleepFor(hostListInterval);
    }
}

std::string RelayRole::statusJson() const
{
    return "{\"reservations\":" + std::to_string(m_bookings.reservationCount()) + "}";
}

} // namespace gwt
