#include "ProcessFleet.h"

#include <boost/json.hpp>

#include <gtest/gtest.h>

#include <atomic>
#include <fstream>
#include <mutex>
#include <sstream>
#include <thread>

namespace gwt {
namespace {

namespace json = boost::json;
using namespace std::chrono_literals;

constexpr int searchers = 6;
constexpr int hosts = 3;
constexpr Milliseconds newWorkBound{5000}; ///< until a draining backend server gets no new work
constexpr Milliseconds deathBound{2000}; ///< until a dead backend server gets no new work
constexpr Milliseconds watchTime{3000}; ///< how long to watch after a bound has passed
constexpr Milliseconds pollInterval{10};
/// \brief The longest ejection plus a margin for its probe.
constexpr Milliseconds readmissionBound{35'000};
const std::string targetServer = "pots-1-0"; ///< drains or dies
const std::string otherReplica = "pots-1-1"; ///< of the same service

ProcessFleetOptions fleetOptions()
{
    ProcessFleetOptions options;
    options.services = 2;
    options.serviceTimeMs = 20;
    return options;
}

/// \brief Sends searches to all hosts in turn until it is stopped; records incomplete answers.
class SearchLoad
{
public:
    SearchLoad(ProcessFleet &fleet, std::string rank)
        : m_fleet(fleet)
        , m_rank(std::move(rank))
    {
        for (int i = 0; i < searchers; ++i)
            m_threads.emplace_back([this, i] { run(i); });
    }

    ~SearchLoad() { stop(); }

    void stop()
    {
        m_isStopping = true;
        for (std::thread &thread : m_threads) {
            if (thread.joinable())
                thread.join();
        }
    }

    int answered() const { return m_answered; }
    std::vector<std::string> failures()
    {
        const std::lock_guard lock(m_mutex);
        return m_failures;
    }

private:
    void run(int number)
    {
        for (int i = number; !m_isStopping; ++i) {
            const HttpResponse response = m_fleet.search(i % hosts + 1, m_rank);
            ++m_answered;
            const bool isComplete = response.status == 200
                && response.body.find("\"missing\":[]") != std::string::npos;
            if (isComplete)
                continue;
            const std::lock_guard lock(m_mutex);
            m_failures.push_back(std::to_string(response.status) + " "
                                 + response.body.substr(0, 300));
        }
    }

    ProcessFleet &m_fleet;
    const std::string m_rank;
    std::atomic<bool> m_isStopping = false;
    std::atomic<int> m_answered = 0;
    std::mutex m_mutex; ///< guards m_failures
    std::vector<std::string> m_failures;
    std::vector<std::thread> m_threads;
};

/// \brief The requests that a backend server received while it was watched.
struct NewWork
{
    Milliseconds lastAfter{0};
    std::int64_t requests = 0;
};

class RelayLeaveTest : public testing::Test
{
protected:
    RelayLeaveTest()
        : m_fleet(fleetOptions())
    { }

    void SetUp() override
    {
        ASSERT_TRUE(m_fleet.start());
        postHostList("live");
    }

    std::int64_t count(const std::string &server, const std::string &name)
    {
        const HttpResponse response = m_fleet.get(m_fleet.backendAdmin(), "/admin/counts");
        return json::parse(response.body).at(server).at(name).to_number<std::int64_t>();
    }

    void setBehaviour(const std::string &fields)
    {
        const std::string select = R"({"select":{"server":")" + targetServer + "\"},";
        const HttpResponse response
            = m_fleet.post(m_fleet.backendAdmin(), "/admin/behaviour", select + fields + "}");
        ASSERT_EQ(response.status, 200) << response.body;
    }

    /// \brief Posts a host list of the system's own hosts and of the target server's host, which is
    /// in \a state.
    void postHostList(const std::string &state)
    {
        json::array list;
        for (int host = 1; host <= hosts; ++host) {
            list.push_back(json::object{{"name", "host-" + std::to_string(host)},
                                        {"address", m_fleet.entry(host).address},
                                        {"availability_zone", "az" + std::to_string(host)}});
        }
        list.push_back(json::object{{"name", "kitchen-1"},
                                    {"address", m_fleet.backend(1).address},
                                    {"availability_zone", "az1"},
                                    {"state", state}});
        const HttpResponse response
            = m_fleet.post(m_fleet.platformAdmin(), "/admin/hosts", json::serialize(list));
        ASSERT_EQ(response.status, 200) << response.body;
    }

    void publishDraining()
    {
        const std::string path = m_fleet.setFolder() + "/set.toml";
        std::ostringstream text;
        text << std::ifstream(path).rdbuf();
        std::string set = text.str();
        const std::string section = "[backend-server." + targetServer + "]\n";
        const auto at = set.find(section);
        ASSERT_NE(at, std::string::npos);
        set.insert(at + section.size(), "draining = true\n");
        std::ofstream(path) << set;
        ASSERT_TRUE(m_fleet.publish());
    }

    bool waitForRequests(const std::string &server, std::int64_t additional, Milliseconds timeout)
    {
        const std::int64_t target = count(server, "received") + additional;
        const TimePoint deadline = Clock::now() + timeout;
        while (Clock::now() < deadline) {
            if (count(server, "received") >= target)
                return true;
            std::this_thread::sleep_for(pollInterval);
        }
        return false;
    }

    /// \brief Watches the target server until \a time after \a since, when it had received
    /// \a first requests.
    NewWork watch(TimePoint since, std::int64_t first, Duration time)
    {
        NewWork newWork;
        std::int64_t last = first;
        while (Clock::now() < since + time) {
            const std::int64_t now = count(targetServer, "received");
            if (now > last)
                newWork.lastAfter = std::chrono::duration_cast<Milliseconds>(Clock::now() - since);
            last = now;
            std::this_thread::sleep_for(pollInterval);
        }
        newWork.requests = last - first;
        return newWork;
    }

    ProcessFleet m_fleet;
};

class RelayLeaveSourceTest : public RelayLeaveTest, public testing::WithParamInterface<const char *>
{
protected:
    /// \brief Reports the target server as draining by one source; the others still say live.
    void reportDraining()
    {
        const std::string source = GetParam();
        if (source == "reply")
            setBehaviour(R"("draining":true,"refuses_when_draining":false)");
        else if (source == "hostList")
            postHostList("leaving");
        else
            publishDraining();
    }
};

TEST_P(RelayLeaveSourceTest, noNewWorkArrivesAfterTheBoundAndWorkInFlightCompletes)
{
    SearchLoad load(m_fleet, "background");
    ASSERT_TRUE(waitForRequests(targetServer, 50, 10'000ms));
    const TimePoint reportedAt = Clock::now();
    const std::int64_t before = count(targetServer, "received");
    reportDraining();
    const NewWork newWork = watch(reportedAt, before, newWorkBound + watchTime);
    EXPECT_TRUE(waitForRequests(otherReplica, 1, 5000ms)) << "the load must go on";
    load.stop();
    RecordProperty("last_new_work_ms", static_cast<int>(newWork.lastAfter.count()));
    std::cout << "last new work after " << newWork.lastAfter.count() << " ms\n";
    EXPECT_LE(newWork.lastAfter, newWorkBound);
    EXPECT_EQ(load.failures(), std::vector<std::string>());
    EXPECT_EQ(count(targetServer, "served"), count(targetServer, "received"));
}

INSTANTIATE_TEST_SUITE_P(Sources, RelayLeaveSourceTest,
                         testing::Values("reply", "hostList", "configuration"),
                         [](const auto &info) { return std::string(info.param); });

struct DeathCase
{
    const char *name;
    const char *fault; ///< of the behaviour
    const char *rank; ///< of the load
};

class RelayDeathTest : public RelayLeaveTest, public testing::WithParamInterface<DeathCase>
{ };

/// \brief Probes that one owner may send while watched: ejected servers are probed at 1, 3 and 7 s.
constexpr int maxProbes = 4;

TEST_P(RelayDeathTest, aDeadServerListedAsLiveIsEjectedWithinTheBoundAndReadmitted)
{
    const std::string fault = GetParam().fault;
    SearchLoad load(m_fleet, GetParam().rank);
    ASSERT_TRUE(waitForRequests(targetServer, 50, 10'000ms));
    setBehaviour("\"" + fault + "\":true");
    const TimePoint failedAt = Clock::now();
    std::this_thread::sleep_until(failedAt + deathBound);
    const NewWork newWork = watch(Clock::now(), count(targetServer, "received"), watchTime);
    std::cout << "new work later than the bound: " << newWork.requests << "\n";
    EXPECT_LE(newWork.requests, maxProbes);
    setBehaviour("\"" + fault + "\":false");
    EXPECT_TRUE(waitForRequests(targetServer, 50, readmissionBound));
    load.stop();
}

INSTANTIATE_TEST_SUITE_P(Deaths, RelayDeathTest,
                         testing::Values(DeathCase{"resetting", "dead", "urgent"},
                                         DeathCase{"resettingUnhedged", "dead", "desk"},
                                         DeathCase{"silent", "frozen", "urgent"},
                                         DeathCase{"silentUnhedged", "frozen", "desk"}),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
} // namespace gwt
