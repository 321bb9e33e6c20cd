#include "ProcessFleet.h"
#include "TaskRunner.h"
#include "control/Control.h"
#include "platform/Platform.h"
#include "platform/StoreAccess.h"

#include <gtest/gtest.h>

#include <boost/json.hpp>

#include <csignal>
#include <thread>

namespace gwt {
namespace {

using namespace std::chrono_literals;
namespace json = boost::json;

ProcessFleetOptions sixHosts()
{
    ProcessFleetOptions options;
    options.hosts = 6;
    options.hasSeeds = true;
    return options;
}

/// \brief Sends searches of all ranks through all entries until it is destroyed.
class SearchLoad
{
public:
    explicit SearchLoad(ProcessFleet &fleet)
    {
        for (int host = 1; host <= sixHosts().hosts; ++host)
            m_threads.emplace_back([this, &fleet, host] { run(fleet, host); });
    }

    ~SearchLoad()
    {
        m_isDone = true;
        for (std::thread &thread : m_threads)
            thread.join();
    }

    int answered() const { return m_answered; }

private:
    void run(ProcessFleet &fleet, int host)
    {
        for (int i = 0; !m_isDone; ++i) {
            const std::string rank = i % 2 == 0 ? "urgent" : "desk";
            m_answered += fleet.search(host, rank).status == 200 ? 1 : 0;
        }
    }

    std::atomic<bool> m_isDone = false;
    std::atomic<int> m_answered = 0;
    std::vector<std::thread> m_threads;
};

class ConfigFleetTest : public testing::Test
{
protected:
    ConfigFleetTest()
        : m_fleet(sixHosts())
        , m_pool(2)
        , m_client(m_pool.executor())
    { }

    ~ConfigFleetTest() override { m_pool.stop(); }

    void SetUp() override
    {
        ASSERT_TRUE(m_fleet.start());
        for (int host = 1; host <= sixHosts().hosts; ++host) {
            for (const std::string &name : ProcessFleet::daemonsOf(host))
                m_names.push_back(name);
        }
    }

    /// \brief Publishes the current set with a changed target of rank urgent; returns the
    /// generation, or 0 on failure.
    std::uint64_t publish(int targetMs)
    {
        platform::StoreAccess access(m_pool.executor(), m_client, m_fleet.platform());
        ObjectStore &store = access.store();
        ConfigReader reader(store);
        Publisher publisher(store);
        const auto current = runTask(m_pool, reader.current(Clock::now() + 20s));
        if (!isOk(current))
            return 0;
        ConfigSet set = valueOf(current)->set();
        set.ranks["urgent"].target = Milliseconds(targetMs);
        const auto published
            = runTask(m_pool, publisher.publish(set, {"test", ""}, Clock::now() + 20s));
        return isOk(published) ? valueOf(published) : 0;
    }

    /// \brief Returns the generation that the daemon reports; 0 if it does not answer. Records
    /// whether a generation decreased.
    std::uint64_t generationOf(const std::string &name)
    {
        const HttpResponse response
            = m_fleet.send(m_fleet.admin(name), "GET", "/status", {}, {}, 500ms);
        boost::system::error_code failure;
        const json::value status = json::parse(response.body, failure);
        if (response.status != 200 || failure)
            return 0;
        const auto generation = status.at("generation").to_number<std::uint64_t>();
        m_wentBack = m_wentBack || generation < m_highest[name];
        m_highest[name] = std::max(m_highest[name], generation);
        return generation;
    }

    bool waitInForce(std::uint64_t generation, const std::string &except = {})
    {
        for (int i = 0; i < 300; ++i) {
            bool isEverywhere = true;
            for (const std::string &name : m_names)
                isEverywhere &= name == except || generationOf(name) == generation;
            if (isEverywhere)
                return true;
            std::this_thread::sleep_for(50ms);
        }
        return false;
    }

    /// \brief Measures the time from the end of a publish until it is active on all daemons.
    Milliseconds measureInForce(std::uint64_t generation, int targetMs)
    {
        EXPECT_EQ(publish(targetMs), generation);
        const TimePoint accepted = Clock::now();
        EXPECT_TRUE(waitInForce(generation));
        const auto took = std::chrono::duration_cast<Milliseconds>(Clock::now() - accepted);
        std::printf("generation %d in force on %zu daemons after %d ms\n",
                    static_cast<int>(generation), m_names.size(), static_cast<int>(took.count()));
        return took;
    }

    void setFault(const std::string &fault)
    {
        m_fleet.post(m_fleet.platformAdmin(), "/admin/faults", fault);
    }

    ProcessFleet m_fleet;
    WorkerPool m_pool;
    HttpClient m_client;
    std::vector<std::string> m_names;
    std::map<std::string, std::uint64_t> m_highest;
    bool m_wentBack = false;
};

TEST_F(ConfigFleetTest, changesComeInForceEverywhereAlsoOnAFrozenDaemonAndNeverGoBack)
{
    const TimePoint start = Clock::now();
    ASSERT_EQ(publish(210), 2U);
    ASSERT_TRUE(waitInForce(2));
    const auto took = std::chrono::duration_cast<Milliseconds>(Clock::now() - start);
    std::printf("in force on %zu daemons after %lld ms\n", m_names.size(),
                static_cast<long long>(took.count()));
    m_fleet.signal("relay-2", SIGSTOP);
    ASSERT_EQ(publish(220), 3U);
    EXPECT_TRUE(waitInForce(3, "relay-2"));
    m_fleet.signal("relay-2", SIGCONT);
    EXPECT_TRUE(waitInForce(3));
    EXPECT_FALSE(m_wentBack);
}

TEST_F(ConfigFleetTest, aStoreOutageChangesNothingAndTheNextGenerationComesAfterIt)
{
    setFault(R"({"down":true})");
    EXPECT_EQ(publish(210), 0U);
    for (const std::string &name : m_names) {
        EXPECT_EQ(generationOf(name), 1U) << name;
        EXPECT_EQ(m_fleet.get(m_fleet.admin(name), "/readyz").status, 200) << name;
    }
    setFault(R"({"down":false})");
    ASSERT_EQ(publish(220), 2U);
    EXPECT_TRUE(waitInForce(2));
    EXPECT_FALSE(m_wentBack);
}

TEST_F(ConfigFleetTest, underLoadAndWithASlowStoreAGenerationIsInForceWithinItsTarget)
{
    constexpr Milliseconds target{5000};
    const SearchLoad load(m_fleet);
    for (std::uint64_t generation = 2; generation <= 4; ++generation)
        EXPECT_LE(measureInForce(generation, 200 + static_cast<int>(generation)), target);
    setFault(R"({"delay_ms":500})");
    for (std::uint64_t generation = 5; generation <= 6; ++generation)
        EXPECT_LE(measureInForce(generation, 200 + static_cast<int>(generation)), target);
    EXPECT_FALSE(m_wentBack);
    EXPECT_GT(load.answered(), 100);
    std::printf("%d searches answered meanwhile\n", load.answered());
}

TEST_F(ConfigFleetTest, aReplacementHostStartsWhileThePlatformIsOutAndServes)
{
    ASSERT_EQ(publish(210), 2U);
    ASSERT_TRUE(waitInForce(2));
    setFault(R"({"down":true})");
    for (const std::string &name : ProcessFleet::daemonsOf(6)) {
        m_fleet.signal(name, SIGKILL);
        m_fleet.waitExit(name);
        m_highest[name] = 0;
    }
    for (const std::string &name : ProcessFleet::daemonsOf(6))
        m_fleet.spawn(name);
    for (const std::string &name : ProcessFleet::daemonsOf(6))
        ASSERT_TRUE(m_fleet.waitReady(name)) << name;
    EXPECT_TRUE(waitInForce(2));
    bool isServing = false;
    for (int i = 0; i < 100 && !isServing; ++i) {
        isServing = m_fleet.search(6, "urgent").status == 200;
        std::this_thread::sleep_for(50ms);
    }
    EXPECT_TRUE(isServing);
    setFault(R"({"down":false})");
    ASSERT_EQ(publish(220), 3U);
    EXPECT_TRUE(waitInForce(3));
    EXPECT_FALSE(m_wentBack);
}

} // namespace
} // namespace gwt
