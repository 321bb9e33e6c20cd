#include "membership/GossipMembership.h"

#include "common/Log.h"
#include "common/Sleep.h"
#include "membership/GossipCodec.h"

namespace gwt {

using asio::ip::udp;
using boost::system::error_code;

namespace {

constexpr Milliseconds tickInterval{50};
constexpr Milliseconds hostListInterval{500};
constexpr Milliseconds hostListTimeout{2000};
constexpr int receiveBufferBytes = 1 << 20;

std::uint64_t wallClockMs()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(now).count());
}

Member withInitialIncarnation(Member self)
{
    self.incarnation = wallClockMs();
    return self;
}

/// \brief A field of GossipCounts and the metric that exports it.
struct CountMetric
{
    std::uint64_t GossipCounts::*count;
    const char *name;
    const char *help;
};

constexpr std::array countMetrics = {
    CountMetric{&GossipCounts::probes, "gwt_membership_probes_total", "Members probed"},
    CountMetric{&GossipCounts::indirectProbes, "gwt_membership_indirect_probes_total",
                "Probes repeated through other members"},
    CountMetric{&GossipCounts::suspicions, "gwt_membership_suspicions_total",
                "Suspicions raised by this member"},
    CountMetric{&GossipCounts::refutations, "gwt_membership_refutations_total",
                "Wrong beliefs of others on this member that it refuted"},
    CountMetric{&GossipCounts::deaths, "gwt_membership_deaths_total", "Members taken for dead"},
    CountMetric{&GossipCounts::falseDeaths, "gwt_membership_false_deaths_total",
                "Members taken for dead that came back without a restart"},
    CountMetric{&GossipCounts::pauses, "gwt_membership_pauses_total",
                "Gaps in which this process did not run"},
};

} // namespace

GossipMembership::GossipMembership(Executor executor, HostList &hostList, Metrics &metrics,
                                   Member self, GossipSeeds seeds, GossipOptions options)
    : m_strand(asio::make_strand(executor))
    , m_hostList(hostList)
    , m_metrics(metrics)
    , m_seeds(std::move(seeds))
    , m_core(withInitialIncarnation(std::move(self)), options)
    , m_random(makeSeededEngine())
    , m_socket(m_strand)
    , m_sentDatagrams(metrics.counter("gwt_membership_datagrams_total", "Datagrams of gossip",
                                      {{"direction", "sent"}}))
    , m_sentBytes(
          metrics.counter("gwt_membership_bytes_total", "Bytes of gossip", {{"direction", "sent"}}))
    , m_unsentDatagrams(
          metrics.counter("gwt_membership_unsent_total", "Datagrams that could not be sent"))
    , m_receivedDatagrams(metrics.counter("gwt_membership_datagrams_total", "Datagrams of gossip",
                                          {{"direction", "received"}}))
    , m_receivedBytes(metrics.counter("gwt_membership_bytes_total", "Bytes of gossip",
                                      {{"direction", "received"}}))
{
    m_core.setSeeds(m_seeds.endpoints);
    publish();
}

Outcome<Endpoint> GossipMembership::start()
{
    const Endpoint &local = m_core.self().gossipAddress;
    error_code failure;
    const udp::endpoint endpoint(asio::ip::make_address(local.address, failure), local.port);
    if (!failure)
        m_socket.open(endpoint.protocol(), failure);
    if (!failure)
        m_socket.bind(endpoint, failure);
    if (failure) {
        return Error{ErrorCode::Unavailable, "listen_failed",
                     toString(local) + ": " + failure.message()};
    }
    error_code ignored;
    m_socket.set_option(udp::socket::receive_buffer_size(receiveBufferBytes), ignored);
    m_socket.non_blocking(true, ignored);
    spawn(m_strand, receiveLoop());
    spawn(m_strand, tickLoop());
    spawn(m_strand, hostListLoop());
    return local;
}

std::shared_ptr<const MemberList> GossipMembership::members() const
{
    const std::lock_guard lock(m_mutex);
    return m_members;
}

void GossipMembership::announceReady(bool isReady)
{
    applyToCore([isReady](GossipCore &core) { core.announceReady(isReady); });
}

void GossipMembership::announceGeneration(std::uint64_t generation)
{
    applyToCore([generation](GossipCore &core) { core.announceGeneration(generation); });
}

void GossipMembership::announceLeaving()
{
    applyToCore([](GossipCore &core) { core.announceLeaving(); });
}

void GossipMembership::applyToCore(std::function<void(GossipCore &)> action)
{
    asio::post(m_strand, [this, action = std::move(action)] {
        action(m_core);
        publish();
    });
}

void GossipMembership::depart()
{
    asio::post(m_strand, [this] { send(m_core.depart(m_random)); });
}

Task<void> GossipMembership::receiveLoop()
{
    while (m_socket.is_open()) {
        const auto [failure, size]
            = co_await m_socket.async_receive_from(asio::buffer(m_buffer), m_source, asTuple);
        if (failure == asio::error::operation_aborted)
            co_return;
        // Other errors report that an earlier datagram was sent to a closed port.
        if (!failure)
            handleDatagram(size);
    }
}

void GossipMembership::handleDatagram(std::size_t size)
{
    m_receivedDatagrams.Increment();
    m_receivedBytes.Increment(static_cast<double>(size));
    const Outcome<GossipMessage> message = decodeGossip({m_buffer.data(), size});
    if (!isOk(message)) {
        m_metrics
            .counter("gwt_membership_malformed_total", "Datagrams dropped as malformed",
                     {{"reason", errorOf(message).reason}})
            .Increment();
        return;
    }
    const Endpoint source{m_source.address().to_string(), m_source.port()};
    send(m_core.receive(source, valueOf(message), Clock::now(), m_random));
}

Task<void> GossipMembership::tickLoop()
{
    while (m_socket.is_open()) {
        send(m_core.tick(Clock::now(), m_random));
        publish();
        co_await sleepFor(tickInterval);
    }
}

Task<void> GossipMembership::hostListLoop()
{
    while (m_socket.is_open()) {
        const auto hosts = co_await m_hostList.hosts(Clock::now() + hostListTimeout);
        if (isOk(hosts))
            applyHosts(valueOf(hosts));
        co_await sleepFor(hostListInterval);
    }
}

void GossipMembership::applyHosts(const std::vector<Host> &hosts)
{
    std::vector<Endpoint> seeds = m_seeds.endpoints;
    std::set<std::string> leaving;
    for (const Host &host : hosts) {
        if (host.name.rfind(m_seeds.hostPrefix, 0) != 0)
            continue;
        for (const std::uint16_t port : m_seeds.ports)
            seeds.emplace_back(host.address, port);
        if (host.state == HostState::Leaving)
            leaving.insert(host.name);
    }
    m_core.setSeeds(std::move(seeds));
    if (leaving == m_leavingHosts)
        return;
    m_leavingHosts = std::move(leaving);
    m_publishedVersion = 0;
}

void GossipMembership::send(const GossipOutputs &outputs)
{
    for (const GossipOutput &output : outputs) {
        const std::string bytes = encodeGossip(output.message);
        error_code failure;
        const auto address = asio::ip::make_address(output.to.address, failure);
        if (!failure)
            m_socket.send_to(asio::buffer(bytes), {address, output.to.port}, 0, failure);
        if (failure) {
            m_unsentDatagrams.Increment();
            continue;
        }
        m_sentDatagrams.Increment();
        m_sentBytes.Increment(static_cast<double>(bytes.size()));
    }
}

void GossipMembership::publish()
{
    publishCounts();
    m_isSynced = m_core.isSynced();
    if (m_publishedVersion == m_core.version())
        return;
    m_publishedVersion = m_core.version();
    auto members = std::make_shared<MemberList>(m_core.members());
    for (Member &member : *members) {
        if (m_leavingHosts.count(member.host))
            member.state = MemberState::Leaving;
    }
    publishStates(*members);
    const std::lock_guard lock(m_mutex);
    m_members = std::move(members);
}

void GossipMembership::publishStates(const MemberList &members)
{
    std::map<MemberState, int> counts
        = {{MemberState::Alive, 0}, {MemberState::Suspect, 0}, {MemberState::Leaving, 0}};
    for (const Member &member : members)
        ++counts[member.state];
    for (const auto &[state, count] : counts) {
        m_metrics
            .gauge("gwt_membership_members", "Members by believed state",
                   {{"state", std::string(toString(state))}})
            .Set(count);
    }
}

void GossipMembership::publishCounts()
{
    const GossipCounts &counts = m_core.counts();
    for (const CountMetric &metric : countMetrics) {
        const std::uint64_t increase = counts.*metric.count - m_publishedCounts.*metric.count;
        if (increase > 0)
            m_metrics.counter(metric.name, metric.help).Increment(static_cast<double>(increase));
    }
    m_publishedCounts = counts;
}

} // namespace gwt
