#include "RelayFixture.h"
#include "common/Random.h"
#include "common/Sleep.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <map>
#include <mutex>
#include <thread>

namespace gwt {
namespace {

class ConnectionLimiterTest : public testing::TestWithParam<int>
{ };

TEST_P(ConnectionLimiterTest, neitherConnectionNorOpeningLimitIsExceeded)
{
    RandomEngine random(static_cast<std::uint64_t>(GetParam()));
    ConnectionLimiter limiter;
    int limit = 0;
    int opening = 0;
    int open = 0;
    for (int step = 0; step < 100'000; ++step) {
        switch (random() % 5) {
        case 0:
            limit = static_cast<int>(random() % 8);
            limiter.setLimit(limit);
            break;
        case 1:
            if (limiter.tryOpen() == ConnectionLimiter::Decision::Open) {
                ++opening;
                ASSERT_LE(opening + open, limit);
                ASSERT_LE(opening, ConnectionLimiter::s_maxOpening);
            }
            break;
        case 2:
            if (opening > 0) {
                --opening;
                ++open;
                limiter.recordOpened();
            }
            break;
        case 3:
            if (opening > 0) {
                --opening;
                limiter.recordFailed();
            }
            break;
        default:
            if (open > 0) {
                --open;
                limiter.recordClosed();
            }
        }
        ASSERT_EQ(limiter.count(), opening + open);
    }
}

INSTANTIATE_TEST_SUITE_P(Seeds, ConnectionLimiterTest, testing::Range(1, 4));

constexpr int serverConnections = 5;
constexpr int serverSlots = 2;

/// \brief Two owners use the same server concurrently, each with its share of the connections.
class RelayConnectionTest : public testing::TestWithParam<int>
{
protected:
    RelayConnectionTest()
        : m_backend(m_pool.executor(), makeServer(), ServiceTime{1ms, 0.5}, m_ledger, m_served, 1)
        , m_first(m_pool.executor(), m_metrics, 8)
        , m_second(m_pool.executor(), m_metrics, 8)
        , m_address(valueOf(m_backend.listen()))
    { }

    ~RelayConnectionTest() override { m_pool.stop(); }

    static BackendServer makeServer()
    {
        BackendServer server;
        server.name = "shard0a";
        server.service = "shard0";
        server.address = Endpoint("127.0.0.1", 0);
        server.slots = serverSlots;
        server.connections = serverConnections;
        return server;
    }

    BackendTarget target(OwnerRank owner) const
    {
        return {m_address, OwnerShare::connections(owner, serverConnections, serverSlots)};
    }

    /// \brief Acquires a connection, holds it and releases it; an untrusted one is closed.
    Task<void> use(BackendConnectionPool &connections, BackendTarget server, Duration hold,
                   bool isTrusted)
    {
        const TimePoint deadline = Clock::now() + 10s;
        auto connection = co_await connections.acquire(server, deadline);
        EXPECT_TRUE(isOk(connection));
        if (isOk(connection)) {
            HttpRequest request;
            request.method = "POST";
            request.target = "/none";
            const auto answered
                = co_await valueOf(connection)->exchange(std::move(request), deadline, {});
            m_failedExchanges += isOk(answered) ? 0 : 1;
            co_await sleepFor(hold);
            recordLastUse(connections, *valueOf(connection), isTrusted);
            connections.release(server.address, std::move(valueOf(connection)), isTrusted);
        }
        ++m_done;
    }

    void recordLastUse(const BackendConnectionPool &owner, const HttpConnection &connection,
                       bool isTrusted)
    {
        const std::lock_guard lock(m_mutex);
        m_lastUseTrusted[&owner][&connection] = isTrusted;
    }
    /// \brief Number of connections of \a owner whose last use was trusted.
    int trustedCount(const BackendConnectionPool &owner)
    {
        const std::lock_guard lock(m_mutex);
        const auto &uses = m_lastUseTrusted[&owner];
        return static_cast<int>(
            std::count_if(uses.begin(), uses.end(), [](const auto &use) { return use.second; }));
    }

    std::mutex m_mutex; ///< a leaf in the lock order
    std::map<const BackendConnectionPool *, std::map<const HttpConnection *, bool>>
        m_lastUseTrusted;
    WorkerPool m_pool{4};
    BookingLedger m_ledger;
    ServedLog m_served;
    Metrics m_metrics;
    FakeBackend m_backend;
    BackendConnectionPool m_first;
    BackendConnectionPool m_second;
    const Endpoint m_address;
    std::atomic<int> m_done = 0;
    std::atomic<int> m_failedExchanges = 0; ///< connections that the server did not accept
};

TEST_P(RelayConnectionTest, twoOwnersTogetherStayWithinTheServersLimit)
{
    RandomEngine random(static_cast<std::uint64_t>(GetParam()));
    constexpr int uses = 1000;
    for (int i = 0; i < uses; ++i) {
        const bool isFirst = random() % 3 > 0;
        const BackendTarget server = target(isFirst ? OwnerRank::First : OwnerRank::Second);
        spawn(m_pool.strand(),
              use(isFirst ? m_first : m_second, server, Microseconds(random() % 500),
                  random() % 4 > 0));
        if (random() % 20 == 0)
            std::this_thread::sleep_for(1ms);
        EXPECT_LE(m_first.count(m_address), target(OwnerRank::First).maxConnections);
        EXPECT_LE(m_second.count(m_address), target(OwnerRank::Second).maxConnections);
    }
    for (int i = 0; i < 4000 && m_done < uses; ++i)
        std::this_thread::sleep_for(5ms);
    EXPECT_EQ(m_done, uses);
    EXPECT_EQ(m_failedExchanges, 0);
    EXPECT_LE(m_backend.counts().peakConnections, serverConnections);
    // A closing connection counts until the server has closed it too.
    const auto haveClosed = [this] {
        return m_first.count(m_address) == trustedCount(m_first)
            && m_second.count(m_address) == trustedCount(m_second);
    };
    for (int i = 0; i < 4000 && !haveClosed(); ++i)
        std::this_thread::sleep_for(5ms);
    EXPECT_EQ(m_first.count(m_address), trustedCount(m_first));
    EXPECT_EQ(m_second.count(m_address), trustedCount(m_second));
    runTask(m_pool, use(m_first, target(OwnerRank::First), Duration::zero(), true));
    EXPECT_GT(m_first.count(m_address), 0);
}

INSTANTIATE_TEST_SUITE_P(Seeds, RelayConnectionTest, testing::Range(1, 4));

struct IdleCase
{
    const char *name;
    const char *late; ///< sent by the server on the idle connection
    bool closes;
    int stale; ///< connections that must not be used again
};

constexpr Milliseconds lateBy{50};
const std::string wholeReply = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";

/// \brief A server that sends data or closes after its reply, while the connection is idle.
class RelayIdleTest : public testing::TestWithParam<IdleCase>
{
protected:
    RelayIdleTest()
        : m_acceptor(m_context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , m_server([this] { serve(); })
    { }

    ~RelayIdleTest() override
    {
        m_server.join();
        m_pool.stop();
    }

    void serve()
    {
        asio::ip::tcp::socket socket = m_acceptor.accept();
        std::array<char, 1024> request{};
        socket.read_some(asio::buffer(request));
        asio::write(socket, asio::buffer(wholeReply));
        std::this_thread::sleep_for(lateBy);
        asio::write(socket, asio::buffer(std::string(GetParam().late)));
        if (GetParam().closes)
            socket.close();
        std::this_thread::sleep_for(lateBy * 4);
    }

    Task<bool> useOnce(BackendTarget server)
    {
        const TimePoint deadline = Clock::now() + 5s;
        auto connection = co_await m_connections.acquire(server, deadline);
        if (!isOk(connection))
            co_return false;
        HttpRequest request;
        const auto answered
            = co_await valueOf(connection)->exchange(std::move(request), deadline, {});
        m_connections.release(server.address, std::move(valueOf(connection)), true);
        co_return isOk(answered);
    }

    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor;
    std::thread m_server;
    WorkerPool m_pool{2};
    Metrics m_metrics;
    BackendConnectionPool m_connections{m_pool.executor(), m_metrics, 8};
};

TEST_P(RelayIdleTest, aConnectionThatChangedWhileIdleIsNotUsedAgain)
{
    const BackendTarget server{{"127.0.0.1", m_acceptor.local_endpoint().port()}, 4};
    ASSERT_TRUE(runTask(m_pool, useOnce(server)));
    std::this_thread::sleep_for(lateBy * 2);
    auto connection = runTask(m_pool, m_connections.acquire(server, Clock::now() + 5s));
    EXPECT_TRUE(isOk(connection));
    const std::string stale
        = "gwt_relay_connections_stale_total " + std::to_string(GetParam().stale) + "\n";
    EXPECT_NE(m_metrics.text().find(stale), std::string::npos) << m_metrics.text();
}

INSTANTIATE_TEST_SUITE_P(Changes, RelayIdleTest,
                         testing::Values(IdleCase{"none", "", false, 0},
                                         IdleCase{"secondReply", wholeReply.c_str(), false, 1},
                                         IdleCase{"closed", "", true, 1}),
                         [](const auto &info) { return std::string(info.param.name); });

class RelayCancelTest : public RelayFixture
{
protected:
    Task<void> searchUntilCancelled(wire::SliceSearchRequest request, CancelToken cancel)
    {
        co_await m_search.run(std::move(request), Clock::now() + 2s, cancel);
        ++m_done;
    }

    static Task<void> cancelAfter(CancelToken cancel, Duration delay)
    {
        co_await sleepFor(delay);
        cancel.cancel();
    }

    std::atomic<int> m_done = 0;
};

TEST_F(RelayCancelTest, aSlotIsHeldUntilTheServerHasAcknowledgedTheCancel)
{
    constexpr int searches = 1500;
    for (const auto &backend : m_fleet.backends())
        updateBehaviour(backend->server().name, [](BackendBehaviour &b) { b.slowFactor = 5; });
    RandomEngine random(1);
    for (int i = 0; i < searches; ++i) {
        const CancelToken cancel;
        spawn(m_pool.strand(),
              searchUntilCancelled(makeRequest("request-" + std::to_string(i), "beans"), cancel));
        spawn(m_pool.strand(), cancelAfter(cancel, Microseconds(random() % 40'000)));
        std::this_thread::sleep_for(Microseconds(random() % 2000));
    }
    for (int i = 0; i < 4000 && m_done < searches; ++i)
        std::this_thread::sleep_for(5ms);
    EXPECT_EQ(m_done, searches);
    EXPECT_TRUE(waitUntilIdle());
    std::uint64_t overfilled = 0;
    std::uint64_t cancelled = 0;
    for (const auto &backend : m_fleet.backends()) {
        overfilled += backend->counts().overlimit;
        cancelled += backend->counts().cancelled;
    }
    std::cout << cancelled << " cancelled, " << overfilled << " found all slots busy\n";
    EXPECT_GT(cancelled, 100U);
    EXPECT_EQ(overfilled, 0U);
}

} // namespace
} // namespace gwt
