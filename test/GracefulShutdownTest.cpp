#include "ProcessFleet.h"

#include <gtest/gtest.h>

#include <atomic>
#include <csignal>
#include <fstream>
#include <mutex>
#include <thread>

namespace gwt {
namespace {

using namespace std::chrono_literals;

constexpr int searchers = 4;
constexpr int bookers = 2;
constexpr int fleetHosts = 3;

/// \brief Sends searches and bookings to all included hosts in rotation until stopped.
class SteadyLoad
{
public:
    explicit SteadyLoad(ProcessFleet &fleet, int hosts)
        : m_fleet(fleet)
    {
        for (int host = 1; host <= hosts; ++host)
            m_isIncluded[host] = true;
        for (int i = 0; i < searchers; ++i)
            m_threads.emplace_back([this, i, hosts] { search(i, hosts); });
        for (int i = 0; i < bookers; ++i)
            m_threads.emplace_back([this, i, hosts] { book(i, hosts); });
    }

    ~SteadyLoad() { stop(); }

    /// \brief Stops sending to a host, as the load balancer does once the host is not ready.
    void excludeHost(int host) { m_isIncluded[host] = false; }
    void includeHost(int host) { m_isIncluded[host] = true; }

    void stop()
    {
        m_isStopping = true;
        for (std::thread &thread : m_threads) {
            if (thread.joinable())
                thread.join();
        }
    }

    int answered() const { return m_answered; }
    int booked() const { return m_booked; }
    std::string failures()
    {
        const std::lock_guard lock(m_mutex);
        return m_failures;
    }

private:
    int pick(int number, int hosts)
    {
        int host = number % hosts + 1;
        while (!m_isIncluded[host])
            host = host % hosts + 1;
        return host;
    }

    void recordFailure(const std::string &failure)
    {
        const std::lock_guard lock(m_mutex);
        m_failures += failure + "\n";
    }

    void search(int thread, int hosts)
    {
        for (int i = thread; !m_isStopping; ++i) {
            const HttpResponse response = m_fleet.search(pick(i, hosts), "desk");
            const bool isComplete = response.status == 200
                && response.body.find("\"missing\":[]") != std::string::npos;
            ++m_answered;
            if (!isComplete)
                recordFailure("search: " + std::to_string(response.status) + " "
                              + response.body.substr(0, 900));
        }
    }

    void book(int thread, int hosts)
    {
        for (int i = thread; !m_isStopping; ++i) {
            const std::string key = "b-" + std::to_string(thread) + "-" + std::to_string(i);
            const HttpResponse response = m_fleet.book(pick(i, hosts), key);
            // A rejection proven not run doesn't count as interrupted: the caller can retry it.
            const bool isSettled
                = response.status == 200 || response.body.find("notRun") != std::string::npos;
            m_booked += response.status == 200 ? 1 : 0;
            if (!isSettled)
                recordFailure("booking: " + std::to_string(response.status) + " " + response.body);
            std::this_thread::sleep_for(5ms);
        }
    }

    ProcessFleet &m_fleet;
    std::map<int, std::atomic<bool>> m_isIncluded;
    std::atomic<bool> m_isStopping = false;
    std::atomic<int> m_answered = 0;
    std::atomic<int> m_booked = 0;
    std::mutex m_mutex; ///< guards m_failures
    std::string m_failures;
    std::vector<std::thread> m_threads;
};

class GracefulShutdownTest : public testing::Test
{
protected:
    GracefulShutdownTest()
        : m_fleet(ProcessFleetOptions{})
    { }

    void SetUp() override
    {
        ASSERT_TRUE(m_fleet.start());
        for (int host = 1; host <= fleetHosts; ++host) {
            for (const std::string &name : ProcessFleet::daemonsOf(host))
                ASSERT_TRUE(m_fleet.waitForReadyMembers(name, fleetHosts * 3));
        }
    }

    bool waitForAnswer(const std::string &name, const std::string &target, const std::string &part)
    {
        for (int i = 0; i < 1000; ++i) {
            if (m_fleet.get(m_fleet.admin(name), target).body.find(part) != std::string::npos)
                return true;
            std::this_thread::sleep_for(5ms);
        }
        return false;
    }

    void expectCleanStop(const std::vector<std::string> &names)
    {
        for (const std::string &name : names)
            m_fleet.signal(name, SIGTERM);
        for (const std::string &name : names)
            EXPECT_EQ(m_fleet.waitExit(name), 0) << name;
    }

    ProcessFleet m_fleet;
};

TEST_F(GracefulShutdownTest, eachRoleStopsWithoutInterruptingRequests)
{
    SteadyLoad load(m_fleet, fleetHosts);
    std::this_thread::sleep_for(300ms);
    for (const std::string name : {"relay-1", "booking-2", "relay-3"}) {
        expectCleanStop({name});
        EXPECT_TRUE(m_fleet.waitForReadyMembers("entry-2", fleetHosts * 3 - 1)) << name;
        m_fleet.spawn(name);
        ASSERT_TRUE(m_fleet.waitReady(name));
        ASSERT_TRUE(m_fleet.waitForReadyMembers("entry-2", fleetHosts * 3));
    }
    load.excludeHost(1);
    expectCleanStop({"entry-1"});
    load.stop();
    EXPECT_EQ(load.failures(), "");
    EXPECT_GT(load.answered(), 100);
    EXPECT_GT(load.booked(), 10);
}

TEST_F(GracefulShutdownTest, allDaemonsOfAHostStopWithoutInterruptingRequests)
{
    SteadyLoad load(m_fleet, fleetHosts);
    std::this_thread::sleep_for(300ms);
    load.excludeHost(2);
    expectCleanStop(ProcessFleet::daemonsOf(2));
    EXPECT_TRUE(m_fleet.waitForReadyMembers("entry-1", (fleetHosts - 1) * 3));
    std::this_thread::sleep_for(300ms);
    load.stop();
    EXPECT_EQ(load.failures(), "");
    EXPECT_GT(load.answered(), 100);
}

TEST_F(GracefulShutdownTest, drainingIsReportedAndASecondSignalLogsInterruptedRequests)
{
    for (const std::string name : {"relay-1", "relay-2", "relay-3"})
        m_fleet.signal(name, SIGSTOP);
    std::thread caller([&] { m_fleet.search(1, "background"); });
    EXPECT_TRUE(waitForAnswer("entry-1", "/status", "\"requests_in_progress\":1"));
    m_fleet.signal("entry-1", SIGTERM);
    EXPECT_TRUE(waitForAnswer("entry-1", "/readyz", "draining"));
    m_fleet.signal("entry-1", SIGTERM);
    EXPECT_EQ(m_fleet.waitExit("entry-1"), 1);
    caller.join();
    std::ifstream log(m_fleet.folder() + "/entry-1.log");
    const std::string text(std::istreambuf_iterator<char>(log), {});
    EXPECT_NE(text.find("requests_cut=1"), std::string::npos) << text;
}

TEST_F(GracefulShutdownTest, killedRelayIsDetectedAndRejoinsAfterRestart)
{
    m_fleet.signal("relay-2", SIGKILL);
    m_fleet.waitExit("relay-2");
    EXPECT_TRUE(m_fleet.waitForReadyMembers("entry-1", fleetHosts * 3 - 1));
    m_fleet.spawn("relay-2");
    EXPECT_TRUE(m_fleet.waitReady("relay-2"));
    EXPECT_TRUE(m_fleet.waitForReadyMembers("entry-1", fleetHosts * 3));
}

} // namespace
} // namespace gwt
