#pragma once

#include "TaskRunner.h"
#include "control/Control.h"
#include "distribution/Distribution.h"
#include "platform/Platform.h"
#include "platform/StoreAccess.h"
#include "standins/platform/FakePlatform.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <thread>

namespace gwt {

using namespace std::chrono_literals;

inline constexpr int daemonCount = 18;
inline constexpr int zoneCount = 3;
inline constexpr std::size_t watchersPerZone = 2;

/// \brief Membership whose members are set by the test.
class FixedMembership : public MembershipView
{
public:
    std::shared_ptr<const MemberList> members() const override
    {
        const std::lock_guard lock(m_mutex);
        return m_members;
    }

    void add(const Member &member)
    {
        const std::lock_guard lock(m_mutex);
        auto members = std::make_shared<MemberList>(*m_members);
        members->push_back(member);
        m_members = std::move(members);
    }

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<const MemberList> m_members = std::make_shared<const MemberList>();
};

/// \brief Store access of one daemon that the test can cut off.
class UnreliableStore : public ObjectStore
{
public:
    explicit UnreliableStore(ObjectStore &store)
        : m_store(store)
    { }

    Task<Outcome<StoredObject>> get(std::string key, TimePoint deadline) override
    {
        if (isDisconnected)
            co_return disconnected();
        co_return co_await m_store.get(std::move(key), deadline);
    }

    Task<Outcome<ObjectVersion>> put(std::string key, std::string value, ObjectVersion expected,
                                     TimePoint deadline) override
    {
        if (isDisconnected)
            co_return disconnected();
        co_return co_await m_store.put(std::move(key), std::move(value), expected, deadline);
    }

    Task<Outcome<Done>> remove(std::string key, ObjectVersion expected, TimePoint deadline) override
    {
        if (isDisconnected)
            co_return disconnected();
        co_return co_await m_store.remove(std::move(key), expected, deadline);
    }

    Task<Outcome<std::vector<ObjectInfo>>> list(std::string prefix, TimePoint deadline) override
    {
        if (isDisconnected)
            co_return disconnected();
        co_return co_await m_store.list(std::move(prefix), deadline);
    }

    Task<Outcome<WatchResult>> watch(std::string prefix, std::uint64_t revision,
                                     TimePoint deadline) override
    {
        if (isDisconnected)
            co_return disconnected();
        Outcome<WatchResult> result = co_await m_store.watch(std::move(prefix), revision, deadline);
        if (isDisconnected)
            co_return disconnected();
        co_return result;
    }

    std::atomic<bool> isDisconnected = false;

private:
    static Error disconnected() { return {ErrorCode::Unavailable, "disconnected"}; }

    ObjectStore &m_store;
};

/// \brief Configuration distribution of one daemon.
struct Node
{
    Node(WorkerPool &pool, ObjectStore &platform, FixedMembership &membership,
         DistributionOptions options)
        : store(platform)
        , client(pool.executor(), 500ms)
        , server(pool.executor())
        , distributor(pool.executor(), store, holder, membership, client, server, metrics, options)
    {
        member.id = options.selfId;
        member.availabilityZone = options.availabilityZone;
        member.peerAddress = valueOf(server.listen({"127.0.0.1", 0}));
    }

    static DistributionOptions optionsOf(int number)
    {
        DistributionOptions options;
        options.selfId = "daemon-" + std::to_string(number);
        options.availabilityZone = "az" + std::to_string(number % zoneCount);
        options.watchersPerZone = watchersPerZone;
        options.tick = 20ms;
        options.peerInterval = 100ms;
        options.storeInterval = 60'000ms;
        return options;
    }

    void start()
    {
        distributor.start([this] {
            const std::uint64_t applied = holder.current()->generation();
            hasReverted = hasReverted || applied <= highest;
            highest = applied;
        });
    }

    /// \brief Number of pulls from \a source that ended with \a reason.
    double pulls(const std::string &source, const std::string &reason)
    {
        const MetricLabels labels{{"source", source}, {"reason", reason}};
        return metrics.counter("gwt_control_pulls_total", "", labels).Value();
    }

    UnreliableStore store;
    Metrics metrics;
    ConfigHolder holder;
    PeerClient client;
    PeerServer server;
    ConfigDistributor distributor;
    Member member;
    std::atomic<std::uint64_t> highest = 0;
    std::atomic<bool> hasReverted = false;
};

/// \brief Runs the configuration distribution of a fleet against a stand-in for the store.
class DistributionFixture : public testing::Test
{
protected:
    DistributionFixture()
        : m_pool(4)
        , m_platform(m_pool.executor())
        , m_client(m_pool.executor())
        , m_access(m_pool.executor(), m_client, valueOf(m_platform.listen({"127.0.0.1", 0})))
        , m_store(m_access.store())
        , m_publisher(m_store)
    { }

    ~DistributionFixture() override { m_pool.stop(); }

    Node &addNode(int number)
    {
        DistributionOptions options = Node::optionsOf(number);
        options.storeInterval = m_storeInterval;
        m_nodes.push_back(std::make_unique<Node>(m_pool, m_store, m_membership, options));
        m_membership.add(m_nodes.back()->member);
        return *m_nodes.back();
    }

    void startFleet()
    {
        for (int number = 0; number < daemonCount; ++number)
            addNode(number);
        for (const auto &node : m_nodes)
            node->start();
    }

    std::uint64_t publish(int targetMs)
    {
        ConfigSet set;
        set.ranks["urgent"] = Rank{"urgent", Milliseconds(targetMs)};
        set.ranks["desk"] = Rank{"desk", Milliseconds(300)};
        const auto published = runTask(
            m_pool, m_publisher.publish(std::move(set), {"test", ""}, Clock::now() + 10s));
        return isOk(published) ? valueOf(published) : 0;
    }

    template <typename Predicate>
    bool waitFor(Predicate isDone)
    {
        for (int i = 0; i < 2000 && !isDone(); ++i)
            std::this_thread::sleep_for(10ms);
        return isDone();
    }

    bool waitForGeneration(std::uint64_t generation)
    {
        return waitFor([&] {
            return std::all_of(m_nodes.begin(), m_nodes.end(), [&](const auto &node) {
                return node->holder.current()->generation() == generation;
            });
        });
    }

    bool waitForVersions(const std::string &index, std::size_t count)
    {
        return waitFor([&] {
            return std::all_of(m_nodes.begin(), m_nodes.end(), [&](const auto &node) {
                return node->holder.versionsOf(index).size() == count;
            });
        });
    }

    void setStoreDown(bool isDown)
    {
        PlatformFaults faults;
        faults.isDown = isDown;
        m_platform.setFaults(faults);
    }

    WorkerPool m_pool;
    FakePlatform m_platform;
    HttpClient m_client;
    platform::StoreAccess m_access;
    ObjectStore &m_store;
    Publisher m_publisher;
    FixedMembership m_membership;
    Milliseconds m_storeInterval = 60'000ms;
    std::vector<std::unique_ptr<Node>> m_nodes;
};

} // namespace gwt
