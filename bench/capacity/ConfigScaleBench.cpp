// Measures how checking, publishing, loading and keeping a configuration in memory scale with the
// number of backend servers, and how many store calls one change takes at 6 hosts with 3 daemons
// each.

#include "common/Log.h"
#include "common/WorkerPool.h"
#include "control/Control.h"
#include "distribution/Distribution.h"
#include "platform/Platform.h"
#include "platform/StoreAccess.h"
#include "standins/platform/FakePlatform.h"

#include <boost/asio/use_future.hpp>

#include <cstdio>
#include <ctime>
#include <future>
#include <malloc.h>
#include <thread>

namespace {

using namespace gwt;

constexpr int serversPerService = 2;
constexpr int slots = 2;
constexpr int connections = 25;
constexpr std::chrono::seconds timeout{120};

ConfigSet makeSet(int servers)
{
    ConfigSet set;
    set.ranks["urgent"] = Rank{"urgent"};
    for (int zone = 0; zone < 6; ++zone) {
        const std::string name = "place-" + std::to_string(zone);
        set.places[name] = Place{name, "region", "az-" + std::to_string(zone)};
    }
    for (int i = 0; i < servers; ++i) {
        const int number = i / serversPerService;
        const std::string service = "service-" + std::to_string(number);
        set.services[service] = Service{service, "index-" + std::to_string(number / 440),
                                        "slice-" + std::to_string(number / 20)};
        BackendServer server;
        server.name = "backend-" + std::to_string(i);
        server.service = service;
        server.place = "place-" + std::to_string(i % 6);
        server.address
            = Endpoint("10." + std::to_string(i / 65536) + "." + std::to_string(i / 256 % 256) + "."
                           + std::to_string(i % 256),
                       9000);
        server.slots = slots;
        server.connections = connections;
        set.backendServers[server.name] = server;
    }
    return set;
}

template <typename T>
T run(WorkerPool &pool, Task<T> task)
{
    return asio::co_spawn(pool.strand(), std::move(task), asio::use_future).get();
}

double msSince(TimePoint start)
{
    return std::chrono::duration<double, std::milli>(Clock::now() - start).count();
}

double heapMb()
{
    constexpr double bytesPerMb = 1024.0 * 1024.0;
    return static_cast<double>(mallinfo2().uordblks) / bytesPerMb;
}

/// \brief Prints the mean costs of ten changes to one object each, the number of writes of the last
/// one, and the mean heap growth while a second generation is kept.
void measureChanges(WorkerPool &pool, FakePlatform &platform, ObjectStore &store, ConfigSet set,
                    VerifiedGenerationPtr current)
{
    constexpr int changes = 10;
    Publisher publisher(store);
    StoreSource source(store);
    double publishMs = 0;
    double loadMs = 0;
    double cpuMs = 0;
    double heapGrowthMb = 0;
    std::size_t bytes = 0;
    std::uint64_t writes = 0;
    for (int i = 0; i < changes; ++i) {
        set.backendServers["backend-" + std::to_string(i)].isDraining = true;
        writes = platform.counts().writes;
        TimePoint start = Clock::now();
        run(pool, publisher.publish(set, {"bench", ""}, Clock::now() + timeout));
        publishMs += msSince(start) / changes;
        writes = platform.counts().writes - writes;
        const SourceHead head = valueOf(run(pool, source.head(Clock::now() + timeout)));
        const double heapBefore = heapMb();
        const std::clock_t cpuBefore = std::clock();
        start = Clock::now();
        const auto next = run(pool, loadGeneration(source, head, current, Clock::now() + timeout));
        loadMs += msSince(start) / changes;
        cpuMs += 1000.0 * static_cast<double>(std::clock() - cpuBefore) / CLOCKS_PER_SEC / changes;
        heapGrowthMb += (heapMb() - heapBefore) / changes;
        for (const auto &[key, content] : valueOf(next)->contents)
            bytes += current->contents.count(key) ? 0 : content->size();
        current = valueOf(next);
    }
    std::printf("  %9.1f  %6llu  %8.1f  %8.1f  %8.1f  %10.2f\n", publishMs,
                static_cast<unsigned long long>(writes), loadMs, cpuMs,
                static_cast<double>(bytes) / 1024.0 / changes, heapGrowthMb);
}

void measureScale(int servers)
{
    WorkerPool pool(2);
    FakePlatform fake(pool.executor());
    HttpClient client(pool.executor());
    platform::StoreAccess access(pool.executor(), client, valueOf(fake.listen({"127.0.0.1", 0})));
    ObjectStore &store = access.store();
    Publisher publisher(store);
    StoreSource source(store);
    ConfigSet set = makeSet(servers);
    TimePoint start = Clock::now();
    const std::size_t faults = checkConfig(set, {}).size();
    const double checkMs = msSince(start);
    start = Clock::now();
    const auto first = run(pool, publisher.publish(set, {"bench", ""}, Clock::now() + timeout));
    const double firstMs = msSince(start);
    const SourceHead firstHead = valueOf(run(pool, source.head(Clock::now() + timeout)));
    const double before = heapMb();
    start = Clock::now();
    const auto current
        = run(pool, loadGeneration(source, firstHead, nullptr, Clock::now() + timeout));
    const double loadMs = msSince(start);
    const double heapGrowthMb = heapMb() - before;
    std::printf("%7d  %6zu  %8.1f  %9.1f  %8.1f  %8.1f", servers, faults, checkMs, firstMs, loadMs,
                heapGrowthMb);
    measureChanges(pool, fake, store, std::move(set), valueOf(current));
    pool.stop();
}

/// \brief Membership that never changes.
class FixedMembership : public MembershipView
{
public:
    std::shared_ptr<const MemberList> members() const override { return list; }
    std::shared_ptr<const MemberList> list = std::make_shared<const MemberList>();
};

/// \brief Configuration distribution of one daemon.
struct Node
{
    Node(WorkerPool &pool, ObjectStore &store, FixedMembership &membership,
         const DistributionOptions &options)
        : client(pool.executor(), Milliseconds(500))
        , server(pool.executor())
        , distributor(pool.executor(), store, holder, membership, client, server, metrics, options)
    { }

    Metrics metrics;
    ConfigHolder holder;
    PeerClient client;
    PeerServer server;
    ConfigDistributor distributor;
};

void measureStoreCalls(std::size_t watchersPerZone, const char *name)
{
    constexpr int daemons = 18;
    constexpr int zones = 3;
    constexpr int changes = 10;
    WorkerPool pool(4);
    FakePlatform fake(pool.executor());
    HttpClient client(pool.executor());
    platform::StoreAccess access(pool.executor(), client, valueOf(fake.listen({"127.0.0.1", 0})));
    ObjectStore &store = access.store();
    Publisher publisher(store);
    FixedMembership membership;
    std::vector<std::unique_ptr<Node>> nodes;
    MemberList members;
    for (int i = 0; i < daemons; ++i) {
        DistributionOptions options;
        options.selfId = "daemon-" + std::to_string(i);
        options.availabilityZone = "az-" + std::to_string(i % zones);
        options.watchersPerZone = watchersPerZone;
        nodes.push_back(std::make_unique<Node>(pool, store, membership, options));
        Member member;
        member.id = options.selfId;
        member.availabilityZone = options.availabilityZone;
        member.peerAddress = valueOf(nodes.back()->server.listen({"127.0.0.1", 0}));
        members.push_back(std::move(member));
    }
    membership.list = std::make_shared<const MemberList>(std::move(members));
    for (const auto &node : nodes)
        node->distributor.start([] {});
    ConfigSet set = makeSet(1000);
    const auto publishAndWait = [&](int slotsNow) {
        set.backendServers["backend-0"].connections = slotsNow;
        const auto published
            = run(pool, publisher.publish(set, {"bench", ""}, Clock::now() + timeout));
        for (const auto &node : nodes) {
            while (node->holder.current()->generation() < valueOf(published))
                std::this_thread::sleep_for(Milliseconds(2));
        }
    };
    publishAndWait(connections);
    const std::uint64_t reads = fake.counts().reads;
    const std::uint64_t writes = fake.counts().writes;
    const std::uint64_t watches = fake.counts().watches;
    double worstMs = 0;
    for (int i = 1; i <= changes; ++i) {
        const TimePoint start = Clock::now();
        publishAndWait(connections + i);
        worstMs = std::max(worstMs, msSince(start));
    }
    std::printf("%-22s reads %.1f  writes %.1f  watches %.1f  worst time to all %.0f ms\n", name,
                static_cast<double>(fake.counts().reads - reads) / changes,
                static_cast<double>(fake.counts().writes - writes) / changes,
                static_cast<double>(fake.counts().watches - watches) / changes, worstMs);
    pool.stop();
}

} // namespace

int main()
{
    initializeLog("ConfigScaleBench", "error");
    std::printf("servers  faults  check ms  publish ms  load ms  heap MiB  | one change: publish "
                "ms  writes  "
                "load ms  CPU ms  KiB  heap growth MiB\n");
    for (const int servers : {1000, 10'000, 54'000})
        measureScale(servers);
    std::printf("\nstore calls for one change, 6 hosts x 3 daemons, 1000 backend servers:\n");
    measureStoreCalls(2, "two watchers per zone");
    measureStoreCalls(1000, "every daemon watches");
    return 0;
}
