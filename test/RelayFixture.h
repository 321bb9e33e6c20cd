#pragma once

#include "TaskRunner.h"
#include "relay/Relay.h"
#include "standins/backend/BackendFleet.h"

#include <gtest/gtest.h>

#include <atomic>
#include <set>

namespace gwt {

using namespace std::chrono_literals;

inline const Endpoint selfAddress{"127.0.0.1", 7000};

/// \brief Membership view set by the test.
class FakeMembershipView : public MembershipView
{
public:
    std::shared_ptr<const MemberList> members() const override { return m_members; }
    void set(MemberList members)
    {
        m_members = std::make_shared<const MemberList>(std::move(members));
    }

private:
    std::shared_ptr<const MemberList> m_members = std::make_shared<const MemberList>();
};

inline Member makeRelay(const std::string &id, const Endpoint &address)
{
    Member member;
    member.id = id;
    member.role = Role::Relay;
    member.peerAddress = address;
    member.isReady = true;
    return member;
}

inline ConfigSet makeConfigSet()
{
    ConfigSet set;
    Rank urgent;
    urgent.name = "urgent";
    urgent.isHedged = true;
    set.ranks["urgent"] = urgent;
    int host = 10;
    for (const std::string service : {"shard0", "shard1"}) {
        set.services[service] = Service{service, "pots", "slice"};
        for (const std::string replica : {"a", "b"}) {
            BackendServer server;
            server.name = service + replica;
            server.service = service;
            server.address = Endpoint("127.0.0." + std::to_string(host++), 0);
            server.slots = 2;
            server.connections = 25;
            set.backendServers[server.name] = server;
        }
    }
    return set;
}

/// \brief A relay's components with two services of two stand-in backend servers each, in process.
class RelayFixture : public testing::Test
{
protected:
    RelayFixture()
        : m_pool(4)
        , m_set(makeConfigSet())
        , m_fleet(m_pool.executor(), m_set, ServiceTime{4ms, 0.5}, 1)
        , m_ownership(m_members, selfAddress)
        , m_services(m_config, m_ownership, RelayOptions{}, m_metrics)
        , m_connections(m_pool.executor(), m_metrics, 8)
        , m_backends(m_connections)
        , m_search(m_pool.executor(), m_config, m_services, m_backends, m_metrics, 0.05)
        , m_bookings(m_config, m_services, m_backends)
    {
        for (const auto &backend : m_fleet.backends())
            m_set.backendServers[backend->server().name].address = valueOf(backend->listen());
        m_config.updateIfNewer(std::make_shared<Config>(1, m_set));
    }

    ~RelayFixture() override { m_pool.stop(); }

    FakeBackend &backend(const std::string &name)
    {
        for (const auto &candidate : m_fleet.backends()) {
            if (candidate->server().name == name)
                return *candidate;
        }
        std::abort();
    }

    void updateBehaviour(const std::string &name, void (*apply)(BackendBehaviour &))
    {
        BackendBehaviour behaviour = backend(name).behaviour();
        apply(behaviour);
        backend(name).setBehaviour(behaviour);
    }

    static wire::SliceSearchRequest makeRequest(const std::string &id, const std::string &query)
    {
        wire::SliceSearchRequest request;
        request.set_request_id(id);
        request.set_index("pots");
        request.set_version(1);
        request.set_rank("urgent");
        request.set_query(query);
        request.set_limit(10);
        request.add_services("shard0");
        request.add_services("shard1");
        return request;
    }

    /// \brief Searches both shards and checks that the reported coverage matches the merged hits.
    wire::SliceSearchReply search(const std::string &query = "beans")
    {
        const std::string id = "request-" + std::to_string(++m_requests);
        wire::SliceSearchReply reply
            = runTask(m_pool, m_search.run(makeRequest(id, query), Clock::now() + 300ms, {}));
        checkCoverage(reply);
        return reply;
    }

    static void checkCoverage(const wire::SliceSearchReply &reply)
    {
        std::set<std::string> answered(reply.answered().begin(), reply.answered().end());
        std::set<std::string> all = answered;
        for (const wire::MissingShard &missing : reply.missing())
            EXPECT_TRUE(all.insert(missing.service()).second) << "answered and missing";
        EXPECT_EQ(all.size(), reply.refused().empty() ? 2U : 0U);
        for (const wire::Hit &hit : reply.hits()) {
            EXPECT_EQ(answered.count(hit.service()), 1U);
            EXPECT_EQ(hit.version(), 1U);
        }
        EXPECT_EQ(reply.hits_size(), answered.empty() ? 0 : 10);
    }

    std::uint64_t receivedRequests(const std::string &name)
    {
        return backend(name).counts().started;
    }

    /// \brief Value of the metric whose name and labels are \a line; 0 if it does not exist.
    double metric(const std::string &line) const
    {
        const std::string text = "\n" + m_metrics.text();
        const auto at = text.find("\n" + line + " ");
        return at == std::string::npos ? 0 : std::stod(text.substr(at + line.size() + 2));
    }

    bool waitUntilIdle()
    {
        const auto isIdle = [this](const std::string &service) {
            return valueOf(m_services.find(service))->load().slotsInUse == 0;
        };
        for (int i = 0; i < 1000 && !(isIdle("shard0") && isIdle("shard1")); ++i)
            std::this_thread::sleep_for(5ms);
        return isIdle("shard0") && isIdle("shard1");
    }

    WorkerPool m_pool;
    ConfigSet m_set;
    BackendFleet m_fleet;
    ConfigHolder m_config;
    FakeMembershipView m_members;
    Metrics m_metrics;
    SliceOwnership m_ownership;
    ServiceTable m_services;
    BackendConnectionPool m_connections;
    BackendClient m_backends;
    SliceSearch m_search;
    BookingExecution m_bookings;
    std::atomic<int> m_requests = 0;
};

} // namespace gwt
