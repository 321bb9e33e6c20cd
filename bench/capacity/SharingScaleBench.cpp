// Prints how the cost of state sharing grows with the number of gateway processes: propagation time
// of a change, CPU time, bytes and memory per process. All processes run in one thread on loopback
// addresses and use the real protocol; the registry is a fake in the same process.
// Fleet sizes may be given as arguments.

#include "common/Log.h"
#include "gateway/sharing/StateSharing.h"

#include <malloc.h>
#include <sys/resource.h>

#include <cstdio>
#include <cstdlib>
#include <memory>

namespace {

using namespace gwt;
using namespace std::chrono_literals;

constexpr int zones = 6;
constexpr int routes = 60;
constexpr int shards = 135;
constexpr int servers = 405;
constexpr std::uint16_t peerPort = 7203;
constexpr std::chrono::seconds settleLimit{120};
constexpr std::uint64_t changes = 10;
constexpr std::chrono::seconds changePause{1};
constexpr std::chrono::seconds changeLimit{20};

FleetMember makeMember(int number)
{
    const std::string address
        = "127.42." + std::to_string(number / 250) + "." + std::to_string(1 + number % 250);
    return {"host-" + std::to_string(number),
            {address, peerPort},
            "az-" + std::to_string(number % zones)};
}

RoutingConfig makeConfig(std::uint64_t version)
{
    RoutingConfig config;
    config.version = version;
    std::vector<std::string> names;
    for (int i = 0; i < shards; ++i) {
        names.push_back("shard-" + std::to_string(i));
        config.services.push_back({names.back(), "/health", 55});
    }
    for (int i = 0; i < routes; ++i) {
        Route route;
        route.name = "route-" + std::to_string(i);
        route.host = "h";
        route.pathPrefix = "/" + route.name + "/";
        route.query = {names, 20, 0.95};
        config.routes.push_back(std::move(route));
    }
    config.routes.front().timeout = Milliseconds(1000 + version);
    return config;
}

std::vector<BackendEntry> makeServers()
{
    std::vector<BackendEntry> entries;
    for (int i = 0; i < servers; ++i) {
        BackendEntry entry;
        entry.id = "i-" + std::to_string(i);
        entry.service = "shard-" + std::to_string(i % shards);
        entry.address = {"10.1.64.9", 8081};
        entries.push_back(std::move(entry));
    }
    return entries;
}

/// \brief Ignores all updates.
class NullObserver : public StateObserver
{
public:
    void onConfig(const RoutingConfig &) override { }
    void onBackends(const std::vector<BackendEntry> &) override { }
    void onBackendChanges(const std::vector<BackendChange> &) override { }
    void onMembers(const std::vector<FleetMember> &) override { }
    void onRegistryRecovery() override { }
};

/// \brief A fake registry that lists all members from the start.
class FakeFeed : public RegistryFeed
{
public:
    FakeFeed(FleetState &state, const std::vector<FleetMember> &members)
        : m_state(state)
        , m_members(members)
    { }
    void join(std::function<void()> onDone) override
    {
        m_state.setMembers(m_members, 1);
        onDone();
    }
    void startWatching() override
    {
        m_isWatching = true;
        m_state.setConfig(makeConfig(1));
        m_state.setBackends(makeServers(), 2);
    }
    void rejoin() override { }
    void deregister(const std::string &) override { }
    void stopWatching() override { m_isWatching = false; }
    bool isCurrent() const override { return m_isWatching; }
    bool isLost() const override { return false; }
    TimePoint provenAt() const override { return isCurrent() ? Clock::now() : TimePoint(); }

private:
    FleetState &m_state;
    const std::vector<FleetMember> &m_members;
    bool m_isWatching = false;
};

struct Process
{
    Process(boost::asio::io_context &context, const FleetMember &self,
            const std::vector<FleetMember> &members)
        : feed(state, members)
        , sharing(context, SharingOptions{self, {}}, state, feed, metrics)
    { }

    double sentBytes()
    {
        double bytes = 0;
        for (const char *part : {"configuration", "backends", "members"}) {
            bytes += metrics
                         .counter("gwt_gateway_told_bytes_total",
                                  "Bytes of news told to other processes", {{"part", part}})
                         .Value();
        }
        return bytes;
    }

    NullObserver observer;
    Metrics metrics;
    FleetState state{observer};
    FakeFeed feed;
    StateSharing sharing;
};

double cpuSeconds()
{
    rusage usage{};
    if (::getrusage(RUSAGE_SELF, &usage) != 0) {
        std::perror("getrusage");
        std::exit(1);
    }
    const auto seconds = [](const timeval &time) {
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
    };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

class Fleet
{
public:
    explicit Fleet(int size)
    {
        for (int i = 0; i < size; ++i)
            m_members.push_back(makeMember(i));
        for (const FleetMember &member : m_members)
            m_processes.push_back(std::make_unique<Process>(m_context, member, m_members));
        for (const auto &process : m_processes) {
            const auto started = process->sharing.start();
            if (!isOk(started)) {
                std::fprintf(stderr, "start: %s\n", errorOf(started).detail.c_str());
                std::exit(1);
            }
        }
    }

    bool runUntilAllHaveVersion(std::uint64_t version, Duration limit)
    {
        const TimePoint end = Clock::now() + limit;
        while (!allHaveVersion(version)) {
            if (Clock::now() >= end)
                return false;
            m_context.run_for(5ms);
        }
        return true;
    }
    void runFor(Duration duration) { m_context.run_for(duration); }
    /// \brief Changes one route, as seen by the processes that follow the registry.
    void publish(std::uint64_t version)
    {
        const RoutingConfig config = makeConfig(version);
        for (const auto &process : m_processes) {
            if (process->sharing.isWatching())
                process->state.setConfig(config);
        }
    }
    std::vector<double> sentBytes() const
    {
        std::vector<double> bytes;
        for (const auto &process : m_processes)
            bytes.push_back(process->sentBytes());
        return bytes;
    }

private:
    bool allHaveVersion(std::uint64_t version) const
    {
        return std::all_of(m_processes.begin(), m_processes.end(), [&](const auto &process) {
            return process->state.configVersion() >= version
                && process->state.backendRevision() > 0;
        });
    }

    boost::asio::io_context m_context;
    std::vector<FleetMember> m_members;
    std::vector<std::unique_ptr<Process>> m_processes;
};

void measure(int size)
{
    const std::size_t heapBefore = ::mallinfo2().uordblks;
    Fleet fleet(size);
    if (!fleet.runUntilAllHaveVersion(1, settleLimit)) {
        std::printf("%8d  did not settle\n", size);
        return;
    }
    fleet.runFor(changePause);
    const std::size_t heap = ::mallinfo2().uordblks - heapBefore;
    const std::vector<double> sentBefore = fleet.sentBytes();
    const double idleCpuBefore = cpuSeconds();
    const TimePoint idleSince = Clock::now();
    fleet.runFor(5s);
    const double idleCpuShare = (cpuSeconds() - idleCpuBefore)
        / std::chrono::duration<double>(Clock::now() - idleSince).count();
    const double changingCpuBefore = cpuSeconds();
    const TimePoint changingSince = Clock::now();
    Duration slowest{0};
    for (std::uint64_t version = 2; version < 2 + changes; ++version) {
        const TimePoint publishedAt = Clock::now();
        fleet.publish(version);
        if (!fleet.runUntilAllHaveVersion(version, changeLimit))
            std::printf("%8d  version %llu did not reach all members within 20 s\n", size,
                        static_cast<unsigned long long>(version));
        slowest = std::max(slowest, Clock::now() - publishedAt);
        fleet.runFor(changePause);
    }
    const double seconds = std::chrono::duration<double>(Clock::now() - changingSince).count();
    const double changingCpuShare = (cpuSeconds() - changingCpuBefore) / seconds;
    const std::vector<double> sent = fleet.sentBytes();
    double busiestBytes = 0;
    double totalBytes = 0;
    for (std::size_t i = 0; i < sent.size(); ++i) {
        busiestBytes = std::max(busiestBytes, sent[i] - sentBefore[i]);
        totalBytes += sent[i] - sentBefore[i];
    }
    const double kilobyte = 1000;
    std::printf("%8d  %10lld  %8.3f  %8.3f  %9.2f  %9.2f  %9.0f\n", size,
                static_cast<long long>(std::chrono::duration_cast<Milliseconds>(slowest).count()),
                100 * idleCpuShare / size, 100 * changingCpuShare / size,
                totalBytes / size / seconds / kilobyte, busiestBytes / seconds / kilobyte,
                static_cast<double>(heap) / size / kilobyte);
}

} // namespace

int main(int argc, char **argv)
{
    initializeLog("SharingScaleBench", "error");
    std::vector<int> sizes;
    for (int i = 1; i < argc; ++i)
        sizes.push_back(std::atoi(argv[i]));
    if (sizes.empty())
        sizes = {30, 100, 300, 1000};
    std::printf("one change a second; slowest propagation, CPU per process when idle and with\n"
                "changes, kB/s sent per process and by the busiest, memory per process\n");
    std::printf("%8s  %10s  %8s  %8s  %9s  %9s  %9s\n", "members", "slowest ms", "idle %",
                "change %", "kB/s", "most kB/s", "memory kB");
    for (const int size : sizes)
        measure(size);
}
