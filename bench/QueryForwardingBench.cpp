// Measures the CPU time of a gateway for one shard of a query, by the number of shards. The backend
// servers run on a separate thread that is not counted.
#include "ScriptedServer.h"
#include "gateway/Gateway.h"
#include "platform/PlatformHeaders.h"

#include <benchmark/benchmark.h>

#include <ctime>
#include <thread>

namespace {

using namespace std::chrono_literals;
namespace asio = boost::asio;

constexpr std::size_t recordsPerPart = 25; ///< 400 bytes, the largest shard replies of one platform
constexpr std::size_t recordBytes = 16;
constexpr int topRecords = 20;
constexpr int warmUpQueries = 20; ///< until connections are open and buffers have grown

double threadSeconds()
{
    timespec now{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) / 1e9;
}

/// \brief Runs one backend server per shard, all on one separate thread.
class ShardServers
{
public:
    explicit ShardServers(std::int64_t count)
    {
        const std::string body(recordsPerPart * recordBytes, 'r');
        const std::string reply
            = gwt::test::httpResponse(200, "X-Server-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n", body);
        for (std::int64_t i = 0; i < count; ++i) {
            m_servers.push_back(std::make_unique<gwt::test::ScriptedServer>(
                m_context, m_timers, [reply](const gwt::test::ServerRequest &) {
                    return gwt::test::ScriptedReply{reply};
                }));
        }
        m_thread = std::thread([this] { m_context.run(); });
    }
    ~ShardServers()
    {
        m_context.stop();
        m_thread.join();
    }
    ShardServers(const ShardServers &) = delete;
    ShardServers &operator=(const ShardServers &) = delete;

    std::vector<gwt::BackendEntry> entries() const
    {
        std::vector<gwt::BackendEntry> entries;
        for (const auto &server : m_servers) {
            gwt::BackendEntry entry;
            entry.id = "i-" + std::to_string(entries.size());
            entry.service = "shard-" + std::to_string(entries.size());
            entry.address = server->endpoint();
            entry.availabilityZone = "z";
            entry.slots = 2;
            entries.push_back(std::move(entry));
        }
        return entries;
    }

private:
    asio::io_context m_context;
    gwt::TimerQueue m_timers{m_context};
    std::vector<std::unique_ptr<gwt::test::ScriptedServer>> m_servers;
    std::thread m_thread;
};

/// \brief A gateway with one route over all shards, and a caller of it.
class QueriedGateway
{
public:
    explicit QueriedGateway(const std::vector<gwt::BackendEntry> &entries)
        : m_core(m_context, m_timers, {"host", "z", {0.2, 50, 10s}}, m_names, m_metrics)
        , m_callers(m_context, {m_timers, m_core, m_metrics, m_core.limits(), m_names})
    {
        gwt::RoutingConfig config;
        config.version = 1;
        gwt::Route route;
        route.name = "all";
        route.host = "h";
        route.pathPrefix = "/all/";
        route.isIdempotent = true;
        route.maxAttempts = 2;
        route.timeout = 5s;
        route.target = 2s; // so long that no hedge is sent and counted
        for (const gwt::BackendEntry &entry : entries) {
            route.query.shards.push_back(entry.service);
            config.services.push_back({entry.service, "/health", 50});
        }
        route.query.topRecords = topRecords;
        route.query.minShare = 1;
        config.routes.push_back(route);
        const auto bound = m_callers.listen({"127.0.0.1", 0});
        m_core.onConfig(config);
        m_core.onBackends(entries);
        m_caller = std::make_shared<gwt::ClientConnection>(m_context, m_timers, 1U << 20U,
                                                           gwt::ClientConnection::Probing::Off);
        bool isOpen = false;
        m_caller->connect(gwt::valueOf(bound), 1s,
                          [&](const gwt::Outcome<gwt::Done> &) { isOpen = true; });
        gwt::test::runUntil(m_context, [&] { return isOpen; });
        for (int i = 0; i < warmUpQueries; ++i)
            ask();
    }

    /// \brief True if the query was served.
    bool ask()
    {
        std::optional<bool> isServed;
        m_caller->exchange("GET /all/1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: 9c41d07be2a35f68\r\n"
                           "X-Deadline-Ms: 5000\r\nAccept: */*\r\n\r\n",
                           false, nullptr, [&](gwt::Outcome<gwt::WireResponse> outcome) {
                               isServed = gwt::isOk(outcome)
                                   && gwt::valueOf(outcome).result_int() == 200;
                           });
        while (!isServed)
            m_context.run_one();
        return *isServed;
    }

private:
    asio::io_context m_context;
    gwt::TimerQueue m_timers{m_context};
    gwt::Metrics m_metrics;
    const gwt::HeaderNames m_names = gwt::platform::platformHeaders();
    gwt::GatewayCore m_core;
    gwt::CallerServer m_callers;
    std::shared_ptr<gwt::ClientConnection> m_caller;
};

void BM_Query(benchmark::State &state)
{
    const ShardServers shards(state.range(0));
    QueriedGateway gateway(shards.entries());
    std::int64_t failed = 0;
    const double startSeconds = threadSeconds();
    for (auto _ : state)
        failed += gateway.ask() ? 0 : 1;
    const double cpuSeconds = threadSeconds() - startSeconds;
    if (failed > 0)
        state.SkipWithError("a query was not served");
    const auto shardReplies = static_cast<double>(state.iterations() * state.range(0));
    state.counters["us_per_leg"] = cpuSeconds * 1e6 / shardReplies;
}
BENCHMARK(BM_Query)->Arg(20)->Arg(60)->Arg(135)->UseRealTime()->Unit(benchmark::kMillisecond);

} // namespace
