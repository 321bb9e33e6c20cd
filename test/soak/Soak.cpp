#include "Soak.h"

#include "common/Assert.h"
#include "platform/PlatformHeaders.h"

#include <algorithm>
#include <filesystem>

namespace gwt::test {

namespace json = boost::json;

namespace {

constexpr Milliseconds faultInterval{250}; ///< mean time between faults
constexpr Milliseconds faultDuration{900}; ///< mean duration of a fault
/// Duration of a fault that gateways must notice while it lasts: twice their update limit.
constexpr Milliseconds longFaultDuration = 2 * SoakGateway::s_updateLimit;
constexpr Milliseconds restartDelay{200};
constexpr Milliseconds watchInterval{20};
/// Expired entries have 2 s to be registered again, excluded members at most 8 s.
constexpr std::chrono::seconds recoveryTime{4};
constexpr std::chrono::seconds settleTime{2};
constexpr std::chrono::seconds startTime{10}; ///< until all gateways are ready, on a busy machine
/// A request that was sent within this time before its connection ends may have crossed the close.
constexpr Milliseconds closeRaceTime{200};
constexpr std::uint64_t maxCopyAge = 8000; ///< in ms
constexpr Milliseconds registrationDelay{500}; ///< after the store has lost a registration
constexpr int defaultSlots = 2;
/// Limit on the header of a request; above what fields of Boost.Beast hold.
constexpr int maxHeaderBytes = 131'072;
constexpr int manySlots = 64; ///< of servers whose requests take long
constexpr int versionBackends = 64; ///< more than the versions that a soak publishes

std::string makeFolder()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "gwt-soak-XXXXXX").string();
    return ::mkdtemp(pattern.data());
}

} // namespace

Soak::Soak(SoakOptions options)
    : m_options(std::move(options))
    , m_faults(selectFaults(m_options.faults))
    , m_random(m_options.seed)
    , m_folder(makeFolder())
    , m_store(valueOf(m_platform.listen({"127.0.0.1", 0})))
{
    const auto addBackend = [&](auto &backends, const std::string &service, int replica) {
        backends.push_back(std::make_unique<SoakBackend>(
            m_context, m_timers, service, "i-" + service + "-" + std::to_string(replica),
            m_executions, m_notices, m_random()));
        registerBackend(*backends.back(), "ready");
    };
    for (int shard = 0; shard < m_options.shards; ++shard) {
        m_shards.push_back("shard-" + std::to_string(shard));
        addBackend(m_backends, m_shards.back(), 1);
        addBackend(m_backends, m_shards.back(), 2);
    }
    for (int replica = 1; replica <= 3; ++replica)
        addBackend(m_backends, "single", replica);
    for (int replica = 1; replica <= 2; ++replica)
        addBackend(m_longBackends, "long", replica);
    for (int version = 1; version <= versionBackends; ++version)
        addBackend(m_versionBackends, "version-" + std::to_string(version), 1);
    publish();
    for (int i = 0; i < m_options.gateways; ++i) {
        m_storeProxies.push_back(std::make_unique<LoopbackProxy>(m_context, m_timers, m_store));
        m_gateways.push_back(
            std::make_unique<SoakGateway>(m_folder, i, m_storeProxies.back()->endpoint()));
    }
    for (int i = 0; i < m_options.callers; ++i) {
        SoakGateway &gateway = *m_gateways[static_cast<std::size_t>(i % m_options.gateways)];
        const std::string name = "caller-" + std::to_string(i);
        if (i < m_options.pipeliningCallers) {
            m_pipeliningCallers.push_back(std::make_unique<PipeliningSoakCaller>(
                m_context, m_timers, gateway, name, m_random(), m_findings));
        } else {
            m_callers.push_back(std::make_unique<SoakCaller>(m_context, m_timers, gateway, m_shards,
                                                             name, m_random(), m_findings));
        }
    }
}

Soak::~Soak() = default;

void Soak::registerBackend(SoakBackend &backend, const std::string &state)
{
    const json::object entry{{"service", backend.service()},
                             {"address", toString(backend.endpoint())},
                             {"zone", "z"},
                             {"version", "v1"},
                             {"slots", backend.service() == "long" ? manySlots : defaultSlots},
                             {"state", state},
                             {"seq", 1},
                             {"born", backend.born()},
                             {"warmupLeftMs", 0}};
    m_platform.data().overwrite("servers", backend.id(), entry);
}

void Soak::publish()
{
    if (m_version >= versionBackends)
        return;
    ++m_version;
    m_findings.publishedAt.push_back(Clock::now());
    json::array gather;
    json::array services;
    for (const std::string &shard : m_shards) {
        gather.emplace_back(shard);
        services.push_back({{"name", shard}, {"healthPath", "/h"}, {"maxConnections", 20}});
    }
    const std::string versionService = "version-" + std::to_string(m_version);
    services.push_back({{"name", "single"}, {"healthPath", "/h"}, {"maxConnections", 12}});
    services.push_back({{"name", "long"}, {"healthPath", "/h"}, {"maxConnections", 400}});
    services.push_back({{"name", versionService}, {"healthPath", "/h"}, {"maxConnections", 30}});
    const auto route = [](const char *name, const char *prefix, const char *kind) {
        return json::object{{"name", name},      {"hostname", "soak"}, {"pathPrefix", prefix},
                            {"routeType", kind}, {"timeoutMs", 900},   {"targetLatencyMs", 100},
                            {"priority", 1},     {"attempts", 2}};
    };
    json::object query = route("query", "/all/", "idempotent");
    query["gather"] = gather;
    query["topK"] = 5;
    query["minShare"] = 0.5;
    json::object safe = route("safe", "/safe/", "idempotent");
    safe["service"] = "single";
    json::object once = route("once", "/once/", "non_idempotent");
    once["service"] = "single";
    json::object version = route("version", "/version/", "idempotent");
    version["service"] = versionService;
    json::object longRoute = route("long", "/long/", "idempotent");
    longRoute["service"] = "long";
    m_platform.data().overwrite(
        "config", "main",
        json::object{{"version", m_version},
                     {"routes", json::array{query, safe, once, version, longRoute}},
                     {"services", services},
                     {"limits", {{"maxHeaderBytes", maxHeaderBytes}}}});
}

std::vector<Endpoint> Soak::seeds() const
{
    std::vector<Endpoint> seeds;
    for (const auto &gateway : m_gateways)
        seeds.push_back(gateway->peer());
    return seeds;
}

void Soak::atFaultEnd(std::function<void()> action)
{
    const auto duration = static_cast<std::uint64_t>(faultDuration.count());
    m_timers.after(Milliseconds(static_cast<std::int64_t>(duration / 3 + m_random() % duration)),
                   std::move(action));
}

void Soak::injectStoreFault(bool PlatformFaults::*fault)
{
    PlatformFaults faults;
    faults.*fault = true;
    m_platform.setFaults(faults);
    for (const auto &gateway : m_gateways)
        disturb(*gateway, 2 * faultDuration);
    atFaultEnd([this] { m_platform.setFaults({}); });
}

void Soak::disturb(SoakGateway &gateway, Duration duration)
{
    gateway.setDisturbedUntil(Clock::now() + duration);
}

void Soak::storeCut()
{
    const std::size_t number = m_random() % m_gateways.size();
    disturb(*m_gateways[number], 2 * faultDuration);
    injectProxyFault(*m_storeProxies[number]);
}

void Soak::storeMute()
{
    if (std::exchange(m_isStoreMute, true))
        return;
    const std::size_t spared = m_random() % m_gateways.size();
    const auto setModes = [this, spared](LoopbackProxy::Mode mode) {
        for (std::size_t i = 0; i < m_gateways.size(); ++i) {
            if (i == spared)
                continue;
            disturb(*m_gateways[i], longFaultDuration);
            m_storeProxies[i]->setMode(mode);
        }
    };
    setModes(LoopbackProxy::Mode::MutesConnections);
    m_timers.after(longFaultDuration, [this, setModes] {
        setModes(LoopbackProxy::Mode::Passes);
        m_isStoreMute = false;
    });
}

void Soak::storeRestored()
{
    std::map<std::string, json::value> written;
    for (const ObjectRecord &record : m_platform.data().list("servers", "").records)
        written[record.name] = record.spec;
    const auto config = m_platform.data().get("config", "main");
    m_platform.returnFromCopy(Milliseconds(static_cast<std::int64_t>(m_random() % maxCopyAge)));
    for (const auto &gateway : m_gateways)
        disturb(*gateway, 2 * faultDuration);
    // The operator and the backend servers write what they had written. Backend servers whose
    // registration is lost need a moment.
    m_platform.data().overwrite("config", "main", config->spec);
    for (const auto &[id, spec] : written) {
        if (m_platform.data().get("servers", id))
            m_platform.data().overwrite("servers", id, spec);
    }
    m_timers.after(registrationDelay, [this, written] {
        for (const auto &[id, spec] : written) {
            if (!m_platform.data().get("servers", id))
                m_platform.data().overwrite("servers", id, spec);
        }
    });
}

void Soak::injectBackendFault(SoakBackend::Mode mode)
{
    SoakBackend &backend = randomElement(m_backends);
    backend.setMode(mode);
    atFaultEnd([&backend] { backend.setMode(SoakBackend::Mode::Serves); });
}

void Soak::injectProxyFault(LoopbackProxy &proxy)
{
    using Mode = LoopbackProxy::Mode;
    constexpr std::array modes{Mode::Delays, Mode::SilencesReplies, Mode::SilencesAll,
                               Mode::Resets};
    proxy.setMode(modes.at(m_random() % modes.size()));
    atFaultEnd([&proxy] {
        // Data sent during the silence is lost, so the connections close when the fault ends.
        proxy.setMode(Mode::Resets);
        proxy.setMode(Mode::Passes);
    });
}

void Soak::backendLeaves()
{
    SoakBackend &backend = randomElement(m_backends);
    registerBackend(backend, "draining");
    atFaultEnd([this, &backend] { registerBackend(backend, "ready"); });
}

void Soak::backendAnnouncesEnd()
{
    // The registry does not say so, as it may be out of reach of this server.
    SoakBackend &backend = randomElement(m_backends);
    backend.announceLeaving();
    m_timers.after(longFaultDuration, [this, &backend] {
        backend.restart();
        registerBackend(backend, "ready");
    });
}

void Soak::gatewayPaused()
{
    SoakGateway &gateway = randomElement(m_gateways);
    const int start = gateway.starts();
    gateway.signal(SIGSTOP);
    atFaultEnd([&gateway, start] {
        if (gateway.starts() == start)
            gateway.signal(SIGCONT);
    });
}

bool Soak::areAllReady()
{
    const std::string request
        = "GET " + std::string(platform::readinessPath) + " HTTP/1.1\r\nHost: soak\r\n\r\n";
    return std::all_of(m_gateways.begin(), m_gateways.end(), [&](const auto &gateway) {
        std::optional<bool> isReady;
        const auto probe = std::make_shared<ClientConnection>(m_context, m_timers, 1U << 16U,
                                                              ClientConnection::Probing::Off);
        const auto onAnswer = [&](const Outcome<WireResponse> &outcome) {
            isReady = isOk(outcome) && valueOf(outcome).result_int() == 200;
        };
        probe->connect(gateway->readiness(), startTime, [&](const Outcome<Done> &outcome) {
            if (!isOk(outcome))
                isReady = false;
            else
                probe->exchange(request, false, nullptr, onAnswer);
        });
        runUntil(m_context, [&] { return isReady.has_value(); });
        probe->close();
        return isReady.value_or(false);
    });
}

void Soak::scheduleFault()
{
    const auto pause = static_cast<std::uint64_t>(faultInterval.count());
    m_timers.after(Milliseconds(static_cast<std::int64_t>(m_random() % (2 * pause))), [this] {
        if (!m_isInjectingFaults)
            return;
        const Fault &fault = m_faults[m_random() % m_faults.size()];
        (this->*fault.inject)();
        scheduleFault();
    });
}

void Soak::restartEndedGateways()
{
    for (const auto &gateway : m_gateways) {
        const std::optional<int> status = gateway->reap();
        if (!status)
            continue;
        if (*status != 0 && *status != -SIGKILL) {
            m_findings.violations.push_back(gateway->name() + " exited unexpectedly with status "
                                            + std::to_string(*status));
        }
        m_timers.after(restartDelay, [this, &gateway] { gateway->start(seeds()); });
    }
    m_timers.after(watchInterval, [this] { restartEndedGateways(); });
}

void Soak::checkExecutions()
{
    for (const auto &[id, runs] : m_executions) {
        if (runs > 1 && SoakCaller::isUnsafe(id)) {
            m_findings.violations.push_back("an unsafe request was executed " + std::to_string(runs)
                                            + " times: " + id);
        }
    }
    for (const std::string &id : m_findings.refused) {
        if (m_executions.contains(id))
            m_findings.violations.push_back("a request refused as not executed was executed: "
                                            + id);
    }
}

void Soak::checkUnanswered()
{
    for (const UnansweredRequest &request : m_findings.unanswered) {
        const bool hasRun = m_executions.contains(request.id);
        if (!hasRun && request.mayCrossClose && request.waited <= closeRaceTime)
            continue;
        m_findings.violations.push_back("no response to a request that "
                                        + std::string(hasRun ? "was executed" : "was read") + ": "
                                        + request.id + " at " + request.gateway + " after "
                                        + std::to_string(request.waited.count()) + " ms");
    }
}

void Soak::checkRecovery()
{
    const int before = m_findings.served;
    const std::size_t failuresBefore = m_findings.failures.size();
    const int refusalsBefore = m_findings.refusals;
    runUntil(
        m_context, [] { return false; }, settleTime);
    const int served = m_findings.served - before;
    const int unserved = static_cast<int>(m_findings.failures.size() - failuresBefore)
        + m_findings.refusals - refusalsBefore;
    if (served * 4 < served + unserved || served == 0) {
        m_findings.violations.push_back("after the faults, " + std::to_string(served)
                                        + " requests succeeded and " + std::to_string(unserved)
                                        + " failed or were refused");
    }
}

std::vector<std::string> Soak::run()
{
    for (const auto &gateway : m_gateways)
        gateway->start(seeds());
    restartEndedGateways();
    if (!runUntil(
            m_context, [&] { return areAllReady(); }, startTime))
        m_findings.violations.emplace_back("not all gateways became ready in time");
    for (const auto &caller : m_callers)
        caller->start();
    for (const auto &caller : m_pipeliningCallers)
        caller->start();
    scheduleFault();
    runUntil(
        m_context, [] { return false; }, m_options.duration);
    m_isInjectingFaults = false;
    m_plannedStops.end();
    runUntil(
        m_context, [] { return false; }, recoveryTime);
    checkRecovery();
    for (const auto &caller : m_callers)
        caller->stop();
    for (const auto &caller : m_pipeliningCallers)
        caller->stop();
    runUntil(
        m_context, [] { return false; }, settleTime);
    checkExecutions();
    checkUnanswered();
    return m_findings.violations;
}

} // namespace gwt::test
