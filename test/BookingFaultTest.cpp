#include "ProcessFleet.h"

#include <boost/json.hpp>

#include <gtest/gtest.h>

#include <atomic>
#include <csignal>
#include <mutex>
#include <random>
#include <thread>

namespace gwt {
namespace {

namespace json = boost::json;
using namespace std::chrono_literals;

constexpr int hosts = 3;
constexpr int daemonsPerHost = 3;
constexpr int clients = 4;
constexpr int bookingsOfClient = 30;
constexpr Milliseconds bookingInterval{60};
constexpr Milliseconds settleTimeout{4'000};
constexpr Milliseconds settlePoll{200};

/// \brief The replies that callers received for one key.
struct KeyReplies
{
    std::vector<std::string> results; ///< of each reply "done"
    int notRun = 0;
    int unknown = 0;
};

/// \brief Sends bookings during a fault and audits their outcomes.
class FaultRun
{
public:
    FaultRun(ProcessFleet &fleet, unsigned seed)
        : m_fleet(fleet)
        , m_seed(seed)
    { }

    void startClients()
    {
        for (int client = 0; client < clients; ++client)
            m_threads.emplace_back([this, client] { runClient(client); });
    }

    void waitForClients()
    {
        for (std::thread &thread : m_threads)
            thread.join();
        m_threads.clear();
    }

    int unknownReplies() const
    {
        int count = 0;
        for (const auto &[key, replies] : m_replies)
            count += replies.unknown;
        return count;
    }

    int doneKeys() const
    {
        int count = 0;
        for (const auto &[key, replies] : m_replies)
            count += replies.results.empty() ? 0 : 1;
        return count;
    }

    std::string summary() const
    {
        return std::to_string(m_replies.size()) + " keys, " + std::to_string(doneKeys()) + " done, "
            + std::to_string(unknownReplies()) + " unknown replies, "
            + std::to_string(m_unknownAtEnd) + " unknown at the end";
    }

    int unknownAtEnd() const { return m_unknownAtEnd; }

    void audit()
    {
        awaitSettled();
        const json::value ledger
            = json::parse(m_fleet.get(m_fleet.backendAdmin(), "/admin/bookings").body);
        for (const auto &entry : ledger.as_object())
            EXPECT_LE(entry.value().at("executions").to_number<int>(), 1) << entry.key();
        for (const auto &[key, replies] : m_replies)
            auditKey(key, replies, ledger.as_object().if_contains(key));
    }

private:
    void runClient(int client)
    {
        std::mt19937 random(m_seed * clients + static_cast<unsigned>(client));
        for (int number = 0; number < bookingsOfClient; ++number) {
            const std::string key = "s" + std::to_string(m_seed) + "-c" + std::to_string(client)
                + "-" + std::to_string(number);
            const int host = static_cast<int>(random() % hosts) + 1;
            const bool isSentTwice = random() % 3 == 0;
            std::thread other;
            if (isSentTwice)
                other = std::thread([this, key, host] { book(host % hosts + 1, key); });
            book(host, key);
            if (isSentTwice)
                other.join();
            std::this_thread::sleep_for(bookingInterval);
        }
    }

    void book(int host, const std::string &key)
    {
        const HttpResponse response = m_fleet.book(host, key);
        const std::lock_guard lock(m_mutex);
        KeyReplies &replies = m_replies[key];
        if (response.status == 200)
            replies.results.emplace_back(json::parse(response.body).at("result").as_string());
        else if (response.status == 503)
            ++replies.notRun;
        else
            ++replies.unknown;
    }

    /// \brief Polls all keys until they are settled or settleTimeout has passed.
    void awaitSettled()
    {
        for (auto waited = 0ms; waited < settleTimeout; waited += settlePoll) {
            bool isSettled = true;
            for (const auto &[key, replies] : m_replies) {
                json::value &last = m_finalReplies[key];
                if (!last.is_object())
                    last = lookUp(key);
                isSettled = isSettled && last.is_object();
            }
            if (isSettled)
                return;
            std::this_thread::sleep_for(settlePoll);
        }
    }

    /// \brief The lookup reply for a settled booking; null if the outcome is unknown.
    json::value lookUp(const std::string &key)
    {
        const HttpResponse response = m_fleet.lookUp(1, key);
        return response.status == 200 ? json::parse(response.body) : json::value();
    }

    bool isListed(const std::string &key)
    {
        for (int host = 1; host <= hosts; ++host) {
            const HttpResponse status
                = m_fleet.get(m_fleet.admin("booking-" + std::to_string(host)), "/status");
            if (status.body.find("\"" + key + "\"") != std::string::npos)
                return true;
        }
        return false;
    }

    void auditKey(const std::string &key, const KeyReplies &replies, const json::value *run)
    {
        for (const std::string &result : replies.results) {
            ASSERT_NE(run, nullptr) << key << " was reported done and never ran";
            EXPECT_EQ(run->at("result").as_string(), result) << key;
        }
        const bool isRefusedOnly = replies.results.empty() && replies.unknown == 0;
        EXPECT_FALSE(isRefusedOnly && run) << key << " was reported notRun and ran";
        const json::value &last = m_finalReplies[key];
        const std::string state(last.is_object() ? last.at("state").as_string() : "unknown");
        const bool isDone = run && state == "done" && run->at("result") == last.at("result");
        EXPECT_TRUE(state != "done" || isDone) << key;
        EXPECT_FALSE(state == "notRun" && run) << key << " is reported notRun and ran";
        if (state != "unknown")
            return;
        ++m_unknownAtEnd;
        EXPECT_TRUE(isListed(key)) << key << " is unknown and not listed";
    }

    ProcessFleet &m_fleet;
    const unsigned m_seed;
    std::vector<std::thread> m_threads;
    std::mutex m_mutex;
    std::map<std::string, KeyReplies> m_replies;
    std::map<std::string, json::value>
        m_finalReplies; ///< the settled lookup reply of each key, or null
    int m_unknownAtEnd = 0;
};

void setStore(ProcessFleet &fleet, const std::string &faults)
{
    EXPECT_EQ(fleet.post(fleet.platformAdmin(), "/admin/faults", faults).status, 200);
}

void setBackends(ProcessFleet &fleet, const std::string &change)
{
    EXPECT_EQ(fleet
                  .post(fleet.backendAdmin(), "/admin/behaviour",
                        R"({"select":{"index":"pots"},)" + change + "}")
                  .status,
              200);
}

/// \brief Limits the platform's host list to the first \a count hosts.
void showHosts(ProcessFleet &fleet, int count)
{
    json::array list;
    for (int host = 1; host <= count; ++host) {
        list.push_back(json::object{{"name", "host-" + std::to_string(host)},
                                    {"address", fleet.entry(host).address},
                                    {"availability_zone", "az" + std::to_string(host)}});
    }
    EXPECT_EQ(fleet.post(fleet.platformAdmin(), "/admin/hosts", json::serialize(list)).status, 200);
}

void restart(ProcessFleet &fleet, const std::string &name)
{
    fleet.signal(name, SIGKILL);
    fleet.waitExit(name);
    fleet.spawn(name);
    EXPECT_TRUE(fleet.waitReady(name));
}

void calm(ProcessFleet &) { }

void killWhileExecuting(ProcessFleet &fleet)
{
    setBackends(fleet, R"("booking_reply_delay_ms":150)");
    std::this_thread::sleep_for(300ms);
    restart(fleet, "booking-1");
    restart(fleet, "booking-2");
    setBackends(fleet, R"("booking_reply_delay_ms":0)");
}

void killWhileCommitting(ProcessFleet &fleet)
{
    setStore(fleet, R"({"delay_ms":100})");
    std::this_thread::sleep_for(300ms);
    restart(fleet, "booking-1");
    restart(fleet, "booking-3");
    setStore(fleet, R"({"delay_ms":0})");
}

void pauseBeyondTheHold(ProcessFleet &fleet)
{
    setStore(fleet, R"({"delay_ms":50})");
    fleet.signal("booking-3", SIGSTOP);
    std::this_thread::sleep_for(100ms);
    showHosts(fleet, hosts - 1); // the others may take over its ranges
    std::this_thread::sleep_for(2500ms);
    fleet.signal("booking-3", SIGCONT);
    showHosts(fleet, hosts);
    setStore(fleet, R"({"delay_ms":0})");
}

void storeOutage(ProcessFleet &fleet)
{
    setStore(fleet, R"({"down":true})");
    std::this_thread::sleep_for(1200ms);
    setStore(fleet, R"({"down":false})");
}

void lostStoreReplies(ProcessFleet &fleet)
{
    setStore(fleet, R"({"lose_write_replies":30,"lose_reply_prefix":"bookings/"})");
}

void lateStoreWrites(ProcessFleet &fleet)
{
    setStore(fleet, R"({"late_effect_ms":1300})");
    std::this_thread::sleep_for(300ms);
    setStore(fleet, R"({"late_effect_ms":0})");
}

void lostBackendReplies(ProcessFleet &fleet)
{
    setBackends(fleet, R"("loses_booking_replies":true)");
    std::this_thread::sleep_for(300ms);
    setBackends(fleet, R"("loses_booking_replies":false)");
}

void killRelay(ProcessFleet &fleet)
{
    setBackends(fleet, R"("booking_reply_delay_ms":150)");
    std::this_thread::sleep_for(300ms);
    restart(fleet, "relay-1");
    restart(fleet, "relay-2");
    setBackends(fleet, R"("booking_reply_delay_ms":0)");
}

struct FaultCase
{
    const char *name;
    void (*inject)(ProcessFleet &);
    unsigned seed;
};

class BookingFaultTest : public testing::TestWithParam<FaultCase>
{ };

TEST_P(BookingFaultTest, noBookingIsLostOrRunTwice)
{
    ProcessFleet fleet{ProcessFleetOptions{}};
    ASSERT_TRUE(fleet.start());
    FaultRun run(fleet, GetParam().seed);
    run.startClients();
    std::this_thread::sleep_for(300ms);
    GetParam().inject(fleet);
    run.waitForClients();
    run.audit();
    RecordProperty("summary", run.summary());
    std::cout << GetParam().name << ": " << run.summary() << "\n";
    EXPECT_GT(run.doneKeys(), 0);
    if (GetParam().inject == calm) {
        EXPECT_EQ(run.unknownReplies(), 0);
        EXPECT_EQ(run.unknownAtEnd(), 0);
        EXPECT_EQ(run.doneKeys(), clients * bookingsOfClient);
    }
}

TEST(BookingLateCopyTest, aLateCopyOfARefusedBookingDoesNotRun)
{
    constexpr int keys = 12;
    ProcessFleet fleet{ProcessFleetOptions{}};
    ASSERT_TRUE(fleet.start());
    // A daemon that is ready first would hold all ranges as long as it knows no other one.
    for (const char *observer : {"entry-1", "booking-1", "booking-2"})
        ASSERT_TRUE(fleet.waitForReadyMembers(observer, daemonsPerHost * hosts)) << observer;
    // Opens the sessions in advance: on a new one a call first waits for the holder's handshake.
    for (int number = 0; number < keys; ++number)
        fleet.book(1, "early-" + std::to_string(number));
    fleet.signal("booking-3", SIGSTOP);
    std::atomic<int> refused = 0;
    std::vector<std::thread> threads;
    threads.reserve(keys);
    for (int number = 0; number < keys; ++number) {
        threads.emplace_back([&fleet, &refused, number] {
            const HttpResponse response = fleet.book(1, "late-" + std::to_string(number));
            refused += response.status == 503 ? 1 : 0;
            EXPECT_TRUE(response.status == 503 || response.status == 200) << response.body;
        });
    }
    std::this_thread::sleep_for(500ms); // the requests have reached the paused holder by now
    showHosts(fleet, hosts - 1);
    for (std::thread &thread : threads)
        thread.join();
    fleet.signal("booking-3", SIGCONT);
    std::this_thread::sleep_for(1000ms); // for the late copies
    int ran = 0;
    for (int number = 0; number < keys; ++number)
        ran += fleet.executions("late-" + std::to_string(number));
    EXPECT_GT(refused, 0);
    EXPECT_EQ(ran, keys - refused);
}

INSTANTIATE_TEST_SUITE_P(Seeded, BookingFaultTest,
                         testing::Values(FaultCase{"calm", calm, 1},
                                         FaultCase{"killWhileExecuting", killWhileExecuting, 2},
                                         FaultCase{"killWhileCommitting", killWhileCommitting, 3},
                                         FaultCase{"pauseBeyondTheHold", pauseBeyondTheHold, 4},
                                         FaultCase{"storeOutage", storeOutage, 5},
                                         FaultCase{"lostStoreReplies", lostStoreReplies, 6},
                                         FaultCase{"lateStoreWrites", lateStoreWrites, 7},
                                         FaultCase{"lostBackendReplies", lostBackendReplies, 8},
                                         FaultCase{"killRelay", killRelay, 9}),
                         [](const auto &info) { return info.param.name; });

} // namespace
} // namespace gwt
