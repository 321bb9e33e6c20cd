#include "ProcessFleet.h"

#include <boost/json.hpp>

#include <gmock/gmock.h>

#include <atomic>
#include <csignal>
#include <mutex>
#include <random>
#include <set>
#include <thread>

namespace gwt {
namespace {

namespace json = boost::json;
using namespace std::chrono_literals;

constexpr int hostCount = 4;
constexpr int faultCount = 6;
constexpr Milliseconds betweenFaults{350};
constexpr Milliseconds longFaultTime{1500};

/// \brief A fault that is injected and later removed.
struct Fault
{
    std::string name;
    void (*inject)(ProcessFleet &fleet, int host);
    void (*release)(ProcessFleet &fleet, int host);
};

std::string daemonName(const std::string &role, int host)
{
    return role + "-" + std::to_string(host);
}

void restart(ProcessFleet &fleet, const std::string &name)
{
    fleet.signal(name, SIGKILL);
    fleet.waitExit(name);
    fleet.spawn(name);
}

void setBackendBehaviour(ProcessFleet &fleet, const std::string &fields)
{
    fleet.post(fleet.backendAdmin(), "/admin/behaviour", fields);
}

void setPlatformFaults(ProcessFleet &fleet, const std::string &fields)
{
    fleet.post(fleet.platformAdmin(), "/admin/faults", fields);
}

const std::vector<Fault> &faults()
{
    static const std::vector<Fault> all = {
        {"kill_relay", [](ProcessFleet &f, int h) { restart(f, daemonName("relay", h)); },
         [](ProcessFleet &, int) {}},
        {"kill_booking", [](ProcessFleet &f, int h) { restart(f, daemonName("booking", h)); },
         [](ProcessFleet &, int) {}},
        {"freeze_relay", [](ProcessFleet &f, int h) { f.signal(daemonName("relay", h), SIGSTOP); },
         [](ProcessFleet &f, int h) { f.signal(daemonName("relay", h), SIGCONT); }},
        {"freeze_booking",
         [](ProcessFleet &f, int h) { f.signal(daemonName("booking", h), SIGSTOP); },
         [](ProcessFleet &f, int h) { f.signal(daemonName("booking", h), SIGCONT); }},
        {"store_down", [](ProcessFleet &f, int) { setPlatformFaults(f, R"({"down":true})"); },
         [](ProcessFleet &f, int) { setPlatformFaults(f, R"({"down":false})"); }},
        {"store_loses_replies",
         [](ProcessFleet &f, int) { setPlatformFaults(f, R"({"lose_write_replies":20})"); },
         [](ProcessFleet &f, int) { setPlatformFaults(f, R"({"lose_write_replies":0})"); }},
        {"store_late_effects",
         [](ProcessFleet &f, int) { setPlatformFaults(f, R"({"late_effect_ms":300})"); },
         [](ProcessFleet &f, int) { setPlatformFaults(f, R"({"late_effect_ms":0})"); }},
        {"backend_bad_replies",
         [](ProcessFleet &f, int) {
             setBackendBehaviour(
                 f, R"({"foreign_share":0.1,"truncate_share":0.1,"malformed_share":0.1})");
         },
         [](ProcessFleet &f, int) {
             setBackendBehaviour(f,
                                 R"({"foreign_share":0,"truncate_share":0,"malformed_share":0})");
         }},
        {"backend_loses_bookings",
         [](ProcessFleet &f, int) { setBackendBehaviour(f, R"({"loses_booking_replies":true})"); },
         [](ProcessFleet &f, int) {
             setBackendBehaviour(f, R"({"loses_booking_replies":false})");
         }},
    };
    return all;
}

/// \brief The replies that callers received for one booking key.
struct ReplyHistory
{
    std::set<std::string> results; ///< of replies "done"
    bool wasUnknown = false;
    bool isLastNotRun = false;
};

/// \brief Sends searches and bookings through all entries until it is stopped.
class CallerLoad
{
public:
    explicit CallerLoad(ProcessFleet &fleet, unsigned seed)
        : m_fleet(fleet)
    {
        for (int caller = 0; caller < 3; ++caller) {
            m_threads.emplace_back([this, caller, seed] { book(caller, seed); });
            m_threads.emplace_back([this, caller] { search(caller); });
        }
    }

    void stop()
    {
        m_isStopping = true;
        for (std::thread &thread : m_threads)
            thread.join();
        m_threads.clear();
    }

    const std::map<std::string, ReplyHistory> &bookings() const { return m_bookings; }
    const std::vector<std::string> &violations() const { return m_violations; }
    int searches() const { return m_searches; }

private:
    void book(int caller, unsigned seed)
    {
        std::mt19937 random(seed * 31 + static_cast<unsigned>(caller));
        for (int i = 0; !m_isStopping; ++i) {
            const std::string key = "b-" + std::to_string(caller) + "-" + std::to_string(i);
            // Sends the key up to twice, as a caller does that retries after a lost reply.
            const int repeats = 1 + static_cast<int>(random() % 2);
            for (int repeat = 0; repeat < repeats; ++repeat)
                record(key, m_fleet.book(1 + static_cast<int>(random() % hostCount), key));
        }
    }

    void record(const std::string &key, const HttpResponse &response)
    {
        const std::lock_guard lock(m_mutex);
        ReplyHistory &history = m_bookings[key];
        history.isLastNotRun = false;
        if (response.status == 200) {
            history.results.insert(
                std::string(json::parse(response.body).at("result").as_string()));
        } else if (response.status == 503 || response.status == 429) {
            const json::value body = json::parse(response.body);
            history.isLastNotRun = body.at("error").at("run").as_string() == "notRun";
            history.wasUnknown = history.wasUnknown || !history.isLastNotRun;
        } else {
            history.wasUnknown = true;
        }
    }

    void search(int caller)
    {
        while (!m_isStopping) {
            const HttpResponse response = m_fleet.search(1 + caller % hostCount, "desk");
            if (response.status == 200)
                checkCoverage(json::parse(response.body));
            std::this_thread::sleep_for(5ms);
        }
    }

    void checkCoverage(const json::value &reply)
    {
        const json::value &coverage = reply.at("coverage");
        const std::size_t shards = coverage.at("shards").to_number<std::size_t>();
        const std::size_t covered = coverage.at("answered").to_number<std::size_t>();
        const std::lock_guard lock(m_mutex);
        ++m_searches;
        if (covered + coverage.at("missing").as_array().size() != shards)
            m_violations.push_back("answered and missing shards do not add up to all shards: "
                                   + json::serialize(coverage));
        for (const json::value &hit : reply.at("hits").as_array()) {
            if (hit.at("version") != reply.at("snapshot"))
                m_violations.emplace_back("a hit has another version than the snapshot");
        }
    }

    ProcessFleet &m_fleet;
    std::atomic<bool> m_isStopping = false;
    std::mutex m_mutex;
    std::map<std::string, ReplyHistory> m_bookings;
    std::vector<std::string> m_violations;
    int m_searches = 0;
    std::vector<std::thread> m_threads;
};

class ChaosTest : public testing::TestWithParam<unsigned>
{
protected:
    ChaosTest()
        : m_fleet(makeOptions())
    { }

    static ProcessFleetOptions makeOptions()
    {
        ProcessFleetOptions options;
        options.hosts = hostCount;
        return options;
    }

    void injectFaults()
    {
        std::mt19937 random(GetParam());
        for (int i = 0; i < faultCount; ++i) {
            const Fault &first = faults()[random() % faults().size()];
            const Fault &second = faults()[random() % faults().size()];
            const int host = 1 + static_cast<int>(random() % hostCount);
            SCOPED_TRACE(first.name + " with " + second.name + " at host " + std::to_string(host));
            first.inject(m_fleet, host);
            second.inject(m_fleet, host % hostCount + 1);
            std::this_thread::sleep_for(i % 2 == 0 ? longFaultTime : betweenFaults);
            first.release(m_fleet, host);
            second.release(m_fleet, host % hostCount + 1);
            std::this_thread::sleep_for(betweenFaults);
        }
    }

    ProcessFleet m_fleet;
};

TEST_P(ChaosTest, guaranteesHoldUnderCombinedFaults)
{
    ASSERT_TRUE(m_fleet.start());
    CallerLoad callers(m_fleet, GetParam());
    injectFaults();
    callers.stop();
    EXPECT_THAT(callers.violations(), testing::IsEmpty());
    EXPECT_GT(callers.searches(), 0);
    int done = 0;
    for (const auto &[key, history] : callers.bookings()) {
        const int executions = m_fleet.executions(key);
        done += history.results.empty() ? 0 : 1;
        EXPECT_LE(executions, 1) << key << " ran more than once";
        EXPECT_LE(history.results.size(), 1U) << key << " has two results";
        if (!history.results.empty()) {
            EXPECT_EQ(executions, 1) << key << " was reported done";
        }
        if (history.isLastNotRun && history.results.empty() && !history.wasUnknown) {
            EXPECT_EQ(executions, 0) << key << " was reported notRun";
        }
    }
    EXPECT_GT(done, 0);
}

INSTANTIATE_TEST_SUITE_P(Seeds, ChaosTest, testing::Values(1U, 2U, 3U));

} // namespace
} // namespace gwt
