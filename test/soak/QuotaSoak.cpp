#include "QuotaSoak.h"

#include "common/Assert.h"

#include <algorithm>
#include <csignal>
#include <filesystem>

namespace gwt::test {

namespace json = boost::json;

namespace {

constexpr Milliseconds sendInterval{25}; ///< at each gateway: two thirds of them exceed the quota
constexpr Milliseconds replyTimeout{900};
constexpr Milliseconds faultInterval{1200}; ///< mean time between faults
constexpr Milliseconds shortFault{2500}; ///< longest duration of most faults
constexpr Milliseconds longFault{10'000}; ///< longest duration of the others
constexpr Milliseconds restartDelay{200};
constexpr Milliseconds watchInterval{20};
/// Until gateways run, and have leases and voters.
constexpr std::chrono::seconds startTime{8};
/// The silence of a holder whose voters are lost too, and the wait for its last proof.
constexpr std::chrono::seconds recoveryTime{14};
constexpr std::chrono::seconds settleTime{3};
constexpr double minUsedShare = 0.5; ///< of the quota, after the recovery
const std::string service = "card";

} // namespace

const std::vector<QuotaSoak::Fault> QuotaSoak::s_faults = {
    {"cut off", &QuotaSoak::cutOff},
    {"cut off with resets", &QuotaSoak::cutOffWithResets},
    {"cut off silently", &QuotaSoak::cutOffSilently},
    {"cut off from gateways", &QuotaSoak::cutOffPeers},
    {"cut off from the store", &QuotaSoak::cutOffStore},
    {"inbound cut", &QuotaSoak::cutInbound},
    {"outbound cut", &QuotaSoak::cutOutbound},
    {"two cut off", &QuotaSoak::cutOffTwo},
    {"store down", &QuotaSoak::storeDown},
    {"killed", &QuotaSoak::killed},
    {"stopped", &QuotaSoak::stopped},
    {"paused", &QuotaSoak::paused},
    {"configuration changes", &QuotaSoak::configChanges},
};

QuotaSoak::QuotaSoak(QuotaSoakOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_store(valueOf(m_platform.listen({"127.0.0.1", 0})))
{
    for (const Fault &fault : s_faults) {
        const std::vector<std::string> &names = m_options.faults;
        if (names.empty() || std::find(names.begin(), names.end(), fault.name) != names.end())
            m_faults.push_back(fault);
    }
    GWT_ASSERT(!m_faults.empty(), "at least one given name is the name of a fault");
    std::string pattern = (std::filesystem::temp_directory_path() / "gwt-soak-XXXXXX").string();
    m_folder = ::mkdtemp(pattern.data());
    for (int replica = 1; replica <= 3; ++replica) {
        m_backends.push_back(std::make_unique<SoakBackend>(m_context, m_timers, service,
                                                           "i-card-" + std::to_string(replica),
                                                           m_executions, m_notices, m_random()));
        SoakBackend &backend = *m_backends.back();
        backend.setExecutionHandler([this](const std::string &id) { m_quota.recordExecution(id); });
        m_platform.data().overwrite("servers", backend.id(),
                                    json::object{{"service", service},
                                                 {"address", toString(backend.endpoint())},
                                                 {"zone", "z"},
                                                 {"version", "v1"},
                                                 {"slots", 6},
                                                 {"state", "ready"},
                                                 {"seq", 1},
                                                 {"born", backend.born()},
                                                 {"warmupLeftMs", 0}});
    }
    publish();
    m_links = std::make_unique<GatewayLinks>(m_context, m_timers, m_store, m_options.gateways);
    for (int i = 0; i < m_options.gateways; ++i)
        m_gateways.push_back(std::make_unique<SoakGateway>(m_folder, i, m_links->store(i)));
}

QuotaSoak::~QuotaSoak() = default;

void QuotaSoak::publish()
{
    ++m_version;
    const json::object route{{"name", "card"},          {"hostname", "soak"},
                             {"pathPrefix", "/card/"},  {"routeType", "idempotent"},
                             {"timeoutMs", 800},        {"targetLatencyMs", 300},
                             {"priority", 1},           {"attempts", 2},
                             {"allowAnonymous", false}, {"service", service}};
    const json::object team{{"name", "team"},
                            {"apiKeys", json::array{"key"}},
                            {"ratePerS", QuotaCheck::s_ratePerSecond},
                            {"burst", QuotaCheck::s_ratePerSecond}};
    m_platform.data().overwrite(
        "config", "main",
        json::object{{"version", m_version},
                     {"routes", json::array{route}},
                     {"services",
                      json::array{json::object{
                          {"name", service}, {"healthPath", "/h"}, {"maxConnections", 200}}}},
                     {"tenants", json::array{team}}});
}

void QuotaSoak::sendPeriodically(int gateway)
{
    if (!m_isSending)
        return;
    send(gateway);
    m_timers.after(sendInterval, [this, gateway] { sendPeriodically(gateway); });
}

void QuotaSoak::send(int gateway)
{
    const std::string id = "caller-" + std::to_string(gateway) + "-" + std::to_string(++m_requests);
    const auto connection = std::make_shared<ClientConnection>(m_context, m_timers, 1U << 16U,
                                                               ClientConnection::Probing::Off);
    const std::string bytes = "GET /card/1 HTTP/1.1\r\nHost: soak\r\nX-Request-Id: " + id
        + "\r\nX-Deadline-Ms: 800\r\nAuthorization: Bearer key\r\n\r\n";
    const Endpoint remote = m_gateways[static_cast<std::size_t>(gateway)]->callers();
    connection->connect(remote, replyTimeout, [=, this](const Outcome<Done> &outcome) {
        if (!isOk(outcome))
            return;
        m_quota.recordSent(id);
        connection->exchange(bytes, false, nullptr,
                             [connection](const Outcome<WireResponse> &) { connection->close(); });
        m_timers.after(replyTimeout, [connection] { connection->close(); });
    });
}

Milliseconds QuotaSoak::randomDuration()
{
    const Milliseconds longest = m_random() % 3 == 0 ? longFault : shortFault;
    return Milliseconds(
        1 + static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(longest.count())));
}

int QuotaSoak::chooseGateway()
{
    const auto any = static_cast<int>(m_random() % m_gateways.size());
    if (m_random() % 4 == 0)
        return any;
    const auto leases = m_platform.data().list("leases", "").records;
    if (leases.empty())
        return any;
    const json::value &spec = leases[m_random() % leases.size()].spec;
    const std::string holder(spec.at("holder").as_string());
    for (std::size_t i = 0; i < m_gateways.size(); ++i) {
        if (m_gateways[i]->name() == holder)
            return static_cast<int>(i);
    }
    return any;
}

void QuotaSoak::cut(const std::vector<int> &numbers, GatewayLinks::Scope scope,
                    GatewayLinks::Mode mode)
{
    m_links->setMode(numbers, scope, mode);
    m_timers.after(randomDuration(), [this, numbers, scope] {
        // Data sent during a silence is lost, so the connections close when it ends.
        m_links->setMode(numbers, scope, GatewayLinks::Mode::Resets);
        m_links->setMode(numbers, scope, GatewayLinks::Mode::Passes);
    });
}

void QuotaSoak::cutOffTwo()
{
    const int first = chooseGateway();
    const int second = (first + 1) % m_options.gateways;
    cut({first, second}, {},
        m_random() % 2 == 0 ? GatewayLinks::Mode::Refuses : GatewayLinks::Mode::Resets);
}

void QuotaSoak::storeDown()
{
    if (std::exchange(m_isStoreDown, true))
        return;
    PlatformFaults faults;
    (m_random() % 2 == 0 ? faults.isDown : faults.isSilent) = true;
    m_platform.setFaults(faults);
    m_timers.after(randomDuration(), [this] {
        m_platform.setFaults({});
        m_isStoreDown = false;
    });
}

void QuotaSoak::paused()
{
    SoakGateway &gateway = *m_gateways[static_cast<std::size_t>(chooseGateway())];
    const int start = gateway.starts();
    gateway.signal(SIGSTOP);
    m_timers.after(randomDuration(), [&gateway, start] {
        if (gateway.starts() == start)
            gateway.signal(SIGCONT);
    });
}

void QuotaSoak::scheduleFault()
{
    const auto pause = static_cast<std::uint64_t>(2 * faultInterval.count());
    m_timers.after(Milliseconds(static_cast<std::int64_t>(m_random() % pause)), [this] {
        if (!m_isInjectingFaults)
            return;
        (this->*m_faults[m_random() % m_faults.size()].inject)();
        scheduleFault();
    });
}

void QuotaSoak::restartEndedGateways()
{
    for (std::size_t i = 0; i < m_gateways.size(); ++i) {
        const std::optional<int> status = m_gateways[i]->reap();
        if (!status)
            continue;
        if (*status != 0 && *status != -SIGKILL) {
            m_violations.push_back(m_gateways[i]->name() + " exited unexpectedly with status "
                                   + std::to_string(*status));
        }
        m_timers.after(restartDelay,
                       [this, i] { m_gateways[i]->start(m_links->peers(static_cast<int>(i))); });
    }
    m_timers.after(watchInterval, [this] { restartEndedGateways(); });
}

std::vector<std::string> QuotaSoak::run()
{
    const auto runFor = [this](Duration duration) {
        runUntil(
            m_context, [] { return false; }, duration);
    };
    for (std::size_t i = 0; i < m_gateways.size(); ++i)
        m_gateways[i]->start(m_links->peers(static_cast<int>(i)));
    restartEndedGateways();
    runFor(startTime);
    for (int i = 0; i < m_options.gateways; ++i)
        sendPeriodically(i);
    scheduleFault();
    runFor(m_options.duration);
    m_isInjectingFaults = false;
    runFor(longFault);
    runFor(recoveryTime);
    const TimePoint settledAt = Clock::now();
    runFor(settleTime);
    const double used = static_cast<double>(m_quota.executedSince(settledAt));
    const double quota = QuotaCheck::s_ratePerSecond * settleTime.count();
    m_isSending = false;
    runFor(replyTimeout);
    if (used < minUsedShare * quota) {
        m_violations.push_back("after the recovery only " + std::to_string(used) + " of "
                               + std::to_string(quota) + " requests of the quota were executed");
    }
    const std::size_t most = m_quota.mostInAWindow();
    if (static_cast<double>(most) > QuotaCheck::allowedInAWindow()) {
        m_violations.push_back(std::to_string(most) + " requests of the team were executed in "
                               + std::to_string(QuotaCheck::s_window.count()) + " s, "
                               + std::to_string(QuotaCheck::allowedInAWindow()) + " are allowed");
    }
    return m_violations;
}

} // namespace gwt::test
