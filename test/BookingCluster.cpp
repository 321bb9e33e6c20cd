#include "BookingCluster.h"

#include "TaskRunner.h"
#include "common/Assert.h"
#include "common/Listener.h"
#include "membership/Ownership.h"
#include "peer/PeerCodec.h"

#include <unistd.h>

#include <atomic>
#include <thread>

namespace gwt {

using namespace std::chrono_literals;

namespace {

/// \brief The first three octets of loopback addresses that only this process uses.
///
/// Otherwise an outgoing connection of another process could take the port of a daemon that
/// restarts.
std::string loopbackNetwork()
{
    const int process = ::getpid();
    return "127." + std::to_string(96 + process / 250 % 100) + "." + std::to_string(process % 250);
}

/// \brief A unique address per member, so that no other listener is assigned its port.
std::string nextMemberAddress()
{
    static std::atomic<int> count = 0;
    return loopbackNetwork() + "." + std::to_string(2 + count++ % 250);
}

const Endpoint anyPort{loopbackNetwork() + ".1", 0};
const std::string relayId = "relay";
constexpr Milliseconds connectTimeout{1000};
constexpr std::size_t maxIdleConnections = 8;
constexpr Milliseconds expireInterval{10};
constexpr Milliseconds listenInterval{5};
constexpr int listenTries = 4000;

BookingOptions quickOptions()
{
    BookingOptions options;
    options.hold = 200ms;
    options.commitTimeout = 150ms;
    return options;
}

ConfigSet makeSet()
{
    ConfigSet set;
    set.ranks["urgent"].name = "urgent";
    set.services["pots-1"] = Service{"pots-1", "pots", "slice"};
    for (const std::string name : {"pots-1-a", "pots-1-b"}) {
        BackendServer &server = set.backendServers[name];
        server.name = name;
        server.service = "pots-1";
        server.address = anyPort;
        server.slots = 8;
        server.connections = 25;
    }
    return set;
}

/// \brief Listens at \a local, retrying until the previous listener is closed.
void listenWithRetry(PeerServer &server, const Endpoint &local)
{
    Outcome<Endpoint> bound = server.listen(local);
    for (int i = 0; i < listenTries && !isOk(bound); ++i) {
        std::this_thread::sleep_for(listenInterval);
        bound = server.listen(local);
    }
    GWT_ASSERT(isOk(bound), "the port of a process that ended is free again");
}

/// \brief Closes the listener and all sessions before the process ends, as the kernel would.
void closeNow(PeerServer &server, FreezablePool &pool)
{
    pool.resume();
    server.closeAll();
    for (int i = 0; i < listenTries && server.sessions() > 0; ++i)
        std::this_thread::sleep_for(listenInterval);
}

/// \brief A member at a port that was free a moment ago.
Member makeMember(const std::string &id, Role role)
{
    asio::io_context context;
    asio::ip::tcp::acceptor probe(context);
    Member member;
    member.id = id;
    member.role = role;
    member.isReady = true;
    member.peerAddress = valueOf(openListener(probe, {nextMemberAddress(), 0}));
    return member;
}

} // namespace

RelayProcess::RelayProcess(const Endpoint &local, const ConfigHolder &config,
                           TaskBreakpoint &breakpoint)
    : m_breakpoint(breakpoint)
    , m_address(local)
    , m_ownership(m_membership, local)
    , m_services(config, m_ownership, RelayOptions{}, m_metrics)
    , m_connections(m_pool.executor(), m_metrics, maxIdleConnections)
    , m_backends(m_connections)
    , m_bookings(config, m_services, m_backends)
{
    openServer();
    spawn(m_pool.executor(), expireLoop());
}

RelayProcess::~RelayProcess()
{
    closeNow(*m_servers.back(), m_pool);
    m_pool.stop();
}

void RelayProcess::openServer()
{
    auto server = std::make_unique<PeerServer>(m_pool.executor());
    server->route("/relay/reserve",
                  peerHandler<wire::ReserveRequest, wire::ReserveReply>(
                      [this](wire::ReserveRequest request, PeerRequest raw) {
                          return reserve(std::move(request), std::move(raw));
                      }));
    server->route("/relay/execute",
                  peerHandler<wire::ExecuteRequest, wire::ExecuteReply>(
                      [this](wire::ExecuteRequest request, PeerRequest raw) {
                          return execute(std::move(request), std::move(raw));
                      }));
    server->route(
        "/relay/release",
        peerHandler<wire::ReleaseRequest, wire::ReleaseReply>(
            [this](wire::ReleaseRequest request, PeerRequest) -> Task<wire::ReleaseReply> {
                co_return m_bookings.release(request);
            }));
    server->route(
        "/relay/outcome",
        peerHandler<wire::OutcomeRequest, wire::ExecuteReply>(
            [this](wire::OutcomeRequest request, PeerRequest) -> Task<wire::ExecuteReply> {
                co_return m_bookings.outcome(request);
            }));
    listenWithRetry(*server, m_address);
    m_servers.push_back(std::move(server));
}

void RelayProcess::dropSessions()
{
    m_servers.back()->closeAll();
    openServer();
}

Task<wire::ReserveReply> RelayProcess::reserve(wire::ReserveRequest request, PeerRequest raw)
{
    co_await m_breakpoint.reach(FaultPoint::BeforeReserve);
    const wire::ReserveReply reply
        = co_await m_bookings.reserve(std::move(request), raw.deadline, raw.cancel);
    co_await m_breakpoint.reach(FaultPoint::AfterReserve);
    co_return reply;
}

Task<wire::ExecuteReply> RelayProcess::execute(wire::ExecuteRequest request, PeerRequest raw)
{
    co_await m_breakpoint.reach(FaultPoint::BeforeExecute);
    const wire::ExecuteReply reply = co_await m_bookings.execute(std::move(request), raw.deadline);
    co_await m_breakpoint.reach(FaultPoint::AfterExecute);
    co_return reply;
}

Task<void> RelayProcess::expireLoop()
{
    while (true) {
        co_await sleepFor(expireInterval);
        m_bookings.expire();
        m_services.tick();
    }
}

BookingProcess::BookingProcess(const Member &self, const ConfigHolder &config,
                               const Endpoint &platform, TaskBreakpoint &breakpoint)
    : m_client(m_pool.executor())
    , m_access(m_pool.executor(), m_client, platform)
    , m_breakpointStore(m_access.store(), breakpoint)
    , m_peers(m_pool.executor(), connectTimeout)
    , m_server(m_pool.executor())
    , m_engine({m_pool.executor(), m_breakpointStore, config, m_membership, m_peers, m_metrics},
               RangeHolder(self.id, self.peerAddress), quickOptions())
{ }

BookingProcess::~BookingProcess()
{
    closeNow(m_server, m_pool);
    m_pool.stop();
}

void BookingProcess::start(const Endpoint &local, const MemberList &members)
{
    m_membership.set(members);
    m_engine.start(m_server);
    listenWithRetry(m_server, local);
}

EntryProcess::EntryProcess(const ConfigHolder &config)
    : m_peers(m_pool.executor(), connectTimeout)
    , m_bookings(config, m_membership, m_peers, m_metrics)
{ }

HttpResponse EntryProcess::book(const std::string &key)
{
    HttpRequest request;
    request.headers["idempotency-key"] = key;
    request.body = R"({"index":"pots","rank":"urgent","payload":{"order":")" + key + "\"}}";
    return runTask(m_pool, m_bookings.book(std::move(request)));
}

HttpResponse EntryProcess::lookUp(const std::string &key)
{
    return runTask(m_pool, m_bookings.lookUp(key));
}

BookingCluster::BookingCluster(std::uint64_t seed)
    : m_platform(m_pool.executor())
    , m_store(valueOf(m_platform.listen(anyPort)))
    , m_backends(m_pool.executor(), makeSet(), ServiceTime{2ms, 0.5}, seed)
{
    ConfigSet set = makeSet();
    for (const auto &backend : m_backends.backends())
        set.backendServers[backend->server().name].address = valueOf(backend->listen());
    m_config.updateIfNewer(std::make_shared<const Config>(1, std::move(set)));
    m_members[relayId] = makeMember(relayId, Role::Relay);
    for (const std::string id : {"a", "b"})
        m_members[id] = makeMember(id, Role::Booking);
    startRelay();
    start("a");
    start("b");
    showAll();
}

BookingCluster::~BookingCluster()
{
    m_breakpoint.release();
    m_bookings.clear();
    m_relay.reset();
    m_pool.stop();
}

std::string BookingCluster::keyHeldByA(const std::string &prefix, int number) const
{
    std::set<int> ranges;
    for (int i = 0;; ++i) {
        std::string key = prefix + std::to_string(i);
        const int range = bookingRangeOf(key);
        const auto owners = ownersOf(journalKey(range), "", Role::Booking, membersWithout(""), 1);
        if (owners.front().id == "a" && ranges.insert(range).second && number-- == 0)
            return key;
    }
}

std::string BookingCluster::keyInRange(const std::string &prefix, int range)
{
    for (int i = 0;; ++i) {
        std::string key = prefix + std::to_string(i);
        if (bookingRangeOf(key) == range)
            return key;
    }
}

MemberList BookingCluster::membersWithout(const std::string &hidden) const
{
    MemberList list;
    for (const auto &[id, member] : m_members) {
        if (id != hidden)
            list.push_back(member);
    }
    return list;
}

void BookingCluster::startRelay()
{
    m_relay
        = std::make_unique<RelayProcess>(m_members[relayId].peerAddress, m_config, m_breakpoint);
    m_relay->membershipView().set(membersWithout(""));
}

void BookingCluster::start(const std::string &booking)
{
    auto process
        = std::make_unique<BookingProcess>(m_members[booking], m_config, m_store, m_breakpoint);
    process->start(m_members[booking].peerAddress, membersWithout(""));
    m_bookings[booking] = std::move(process);
}

void BookingCluster::hide(const std::string &hidden, const std::string &unaware)
{
    const MemberList list = membersWithout(hidden);
    m_relay->membershipView().set(list);
    for (const auto &[id, process] : m_bookings)
        process->membershipView().set(id == unaware ? membersWithout("") : list);
    m_firstEntry.membershipView().set(unaware.empty() ? list : membersWithout(""));
    m_secondEntry.membershipView().set(list);
}

} // namespace gwt
