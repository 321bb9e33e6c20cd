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

ProcessFleetOptions sixHostOptions()
{
    ProcessFleetOptions options;
    options.hosts = 6;
    options.hasSeeds = true;
    return options;
}

/// \brief Sends searches of all ranks through all entries until it is destroyed.
class SearchLoadGenerator
{
public:
    explicit SearchLoadGenerator(ProcessFleet &fleet)
    {
        for (int host = 1; host <= sixHostOptions().hosts; ++host)
            m_threads.emplace_back([this, &fleet, host] { run(fleet, host); });
    }

    ~SearchLoadGenerator()
    {
        m_isStopping = true;
        for (std::thread &thread : m_threads)
            thread.join();
    }

    int answeredCount() const { return m_answeredCount; }

private:
    void run(ProcessFleet &fleet, int host)
    {
        for (int i = 0; !m_isStopping; ++i) {
            const std::string rank = i % 2 == 0 ? "urgent" : "desk";
            m_answeredCount += fleet.search(host, rank).status == 200 ? 1 : 0;
        }
    }

    std::atomic<bool> m_isStopping = false;
    std::atomic<int> m_answeredCount = 0;
    std::vector<std::thread> m_threads;
};

class ConfigFleetTest : public testing::Test
{
protected:
    ConfigFleetTest()
        : m_fleet(sixHostOptions())
        , m_pool(2)
        , m_client(m_pool.executor())
    { }

    ~ConfigFleetTest() override { m_pool.stop(); }

    void SetUp() override
    {
        ASSERT_TRUE(m_fleet.start());
        for (int host = 1; host <= sixHostOptions().hosts; ++host) {
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
        m_hasRegressed = m_hasRegressed || generation < m_highestGenerations[name];
        m_highestGenerations[name] = std::max(m_highestGenerations[name], generation);
        return generation;
    }

    bool waitUntilActive(std::uint64_t generation, const std::string &except = {})
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
    Milliseconds measureActivationTime(std::uint64_t generation, int targetMs)
    {
        EXPECT_EQ(publish(targetMs), generation);
        const TimePoint accepted = Clock::now();
        EXPECT_TRUE(waitUntilActive(generation));
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
    std::map<std::string, std::uint64_t> m_highestGenerations;
    bool m_hasRegressed = false;
};

TEST_F(ConfigFleetTest, changesReachAllDaemonsEvenAFrozenOneAndNeverRegress)
{
    const TimePoint start = Clock::now();
    ASSERT_EQ(publish(210), 2U);
    ASSERT_TRUE(waitUntilActive(2));
    const auto took = std::chrono::duration_cast<Milliseconds>(Clock::now() - start);
    std::printf("in force on %zu daemons after %lld ms\n", m_names.size(),
                static_cast<long long>(took.count()));
    m_fleet.signal("relay-2", SIGSTOP);
    ASSERT_EQ(publish(220), 3U);
    EXPECT_TRUE(waitUntilActive(3, "relay-2"));
    m_fleet.signal("relay-2", SIGCONT);
    EXPECT_TRUE(waitUntilActive(3));
    EXPECT_FALSE(m_hasRegressed);
}

TEST_F(ConfigFleetTest, storeOutageKeepsTheGenerationAndTheNextOneFollows)
{
    setFault(R"({"down":true})");
    EXPECT_EQ(publish(210), 0U);
    for (const std::string &name : m_names) {
        EXPECT_EQ(generationOf(name), 1U) << name;
        EXPECT_EQ(m_fleet.get(m_fleet.admin(name), "/readyz").status, 200) << name;
    }
    setFault(R"({"down":false})");
    ASSERT_EQ(publish(220), 2U);
    EXPECT_TRUE(waitUntilActive(2));
    EXPECT_FALSE(m_hasRegressed);
}

TEST_F(ConfigFleetTest, generationIsActiveWithinTargetUnderLoadAndWithASlowStore)
{
    constexpr Milliseconds target{5000};
    const SearchLoadGenerator load(m_fleet);
    for (std::uint64_t generation = 2; generation <= 4; ++generation)
        EXPECT_LE(measureActivationTime(generation, 200 + static_cast<int>(generation)), target);
    setFault(R"({"delay_ms":500})");
    for (std::uint64_t generation = 5; generation <= 6; ++generation)
        EXPECT_LE(measureActivationTime(generation, 200 + static_cast<int>(generation)), target);
    EXPECT_FALSE(m_hasRegressed);
    EXPECT_GT(load.answeredCount(), 100);
    std::printf("%d searches answered meanwhile\n", load.answeredCount());
}

TEST_F(ConfigFleetTest, replacementHostStartsAndServesDuringAPlatformOutage)
{
    ASSERT_EQ(publish(210), 2U);
    ASSERT_TRUE(waitUntilActive(2));
    setFault(R"({"down":true})");
    for (const std::string &name : ProcessFleet::daemonsOf(6)) {
        m_fleet.signal(name, SIGKILL);
        m_fleet.waitExit(name);
        m_highestGenerations[name] = 0;
    }
    for (const std::string &name : ProcessFleet::daemonsOf(6))
        m_fleet.spawn(name);
    for (const std::string &name : ProcessFleet::daemonsOf(6))
        ASSERT_TRUE(m_fleet.waitReady(name)) << name;
    EXPECT_TRUE(waitUntilActive(2));
    bool isServing = false;
    for (int i = 0; i < 100 && !isServing; ++i) {
        isServing = m_fleet.search(6, "urgent").status == 200;
        std::this_thread::sleep_for(50ms);
    }
    EXPECT_TRUE(isServing);
    setFault(R"({"down":false})");
    ASSERT_EQ(publish(220), 3U);
    EXPECT_TRUE(waitUntilActive(3));
    EXPECT_FALSE(m_hasRegressed);
}

} // namespace
} // namespace gwt
