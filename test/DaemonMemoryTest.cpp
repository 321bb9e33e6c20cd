#include "CrowdCaller.h"
#include "ProcessFleet.h"

#include <gtest/gtest.h>

#include <iostream>

#include <sys/wait.h>

namespace gwt::test {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t memoryMb = 64; ///< limits.memory_mb of each daemon
constexpr std::size_t bodyBytes = 1U << 20U; ///< the default limit of a body
constexpr Duration crowdTime = 5s; ///< for which the crowd sends before the ordinary request
constexpr Duration answerLimit = 60s; ///< far above what an ordinary caller needs

struct DaemonCrowdCase
{
    std::string name;
    std::string target; ///< the daemon whose admin address the crowd uses; empty: callers' address
    int callers;
    CrowdBehaviour behaviour;
    std::vector<std::string> bytes; ///< that the callers send, each the next one in turn
    int maxFds = 1000; ///< limits.max_fds of each daemon
};

/// Guards against daemons that callers make grow without bound: the system then ends them.
class DaemonMemoryTest : public testing::TestWithParam<DaemonCrowdCase>
{
protected:
    DaemonMemoryTest()
        : m_fleet(options())
    { }

    static ProcessFleetOptions options()
    {
        ProcessFleetOptions options;
        options.hosts = 1;
        const std::string limits = "[limits]\nmemory_mb = " + std::to_string(memoryMb)
            + "\nmax_fds = " + std::to_string(GetParam().maxFds) + "\n";
        options.extraEntrySettings = limits;
        options.extraRelaySettings = limits;
        options.extraBookingSettings = limits;
        return options;
    }
    void startCrowd()
    {
        std::vector<std::shared_ptr<const std::string>> texts;
        for (const std::string &bytes : GetParam().bytes)
            texts.push_back(std::make_shared<const std::string>(bytes));
        const std::string &target = GetParam().target;
        const Endpoint remote = target.empty() ? m_fleet.entry(1) : m_fleet.admin(target);
        for (int i = 0; i < GetParam().callers; ++i) {
            m_crowd.push_back(
                std::make_shared<CrowdCaller>(m_context, m_timers, GetParam().behaviour,
                                              texts[static_cast<std::size_t>(i) % texts.size()]));
            m_crowd.back()->start(remote);
        }
    }
    /// \brief Repeats \a request while the crowd goes on, until it is answered with 200.
    bool isAnswered(const std::function<HttpResponse()> &request)
    {
        const TimePoint end = Clock::now() + answerLimit;
        while (Clock::now() < end) {
            std::atomic<int> status = -1;
            std::thread caller([&] { status = request().status; });
            while (status < 0)
                run(10ms);
            caller.join();
            if (status == 200)
                return true;
            run(100ms);
        }
        return false;
    }
    void run(Duration time)
    {
        m_context.run_for(time);
        for (const std::string &name : m_daemons)
            m_peaks[name].sample(m_fleet.pid(name), addressesOf(name));
    }
    std::vector<Endpoint> addressesOf(const std::string &name)
    {
        if (name == "entry-1")
            return {m_fleet.entry(1), m_fleet.admin(name)};
        return {m_fleet.admin(name)};
    }
    bool isAlive(const std::string &name)
    {
        siginfo_t state{};
        const auto pid = static_cast<id_t>(m_fleet.pid(name));
        return ::waitid(P_PID, pid, &state, WEXITED | WNOHANG | WNOWAIT) == 0 && state.si_pid == 0;
    }

    ProcessFleet m_fleet;
    const std::vector<std::string> m_daemons = ProcessFleet::daemonsOf(1);
    std::map<std::string, ProcessPeak> m_peaks;
    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_guard{
        m_context.get_executor()};
    TimerQueue m_timers{m_context};
    std::vector<std::shared_ptr<CrowdCaller>> m_crowd;
};

TEST_P(DaemonMemoryTest, staysWithinItsLimitsAndAnswers)
{
    const auto search = [this] { return m_fleet.search(1, "background"); };
    ASSERT_TRUE(m_fleet.start());
    ASSERT_TRUE(isAnswered(search)) << "not answered before the crowd";
    startCrowd();
    const TimePoint end = Clock::now() + crowdTime;
    while (Clock::now() < end)
        run(20ms);
    EXPECT_TRUE(isAnswered(search));
    for (const std::string &name : m_daemons) {
        EXPECT_TRUE(isAnswered([&] { return m_fleet.get(m_fleet.admin(name), "/metrics"); }))
            << name;
        EXPECT_TRUE(isAlive(name)) << name;
        const ProcessPeak &peak = m_peaks[name];
        std::cout << name << ": peak " << peak.memoryKb / 1024 << " MB, with the kernel "
                  << peak.totalKb / 1024 << " MB, descriptors " << peak.descriptors << "\n";
        EXPECT_LE(peak.memoryKb, memoryMb * 1024) << name;
        EXPECT_LE(peak.totalKb, memoryMb * 1024) << name;
        EXPECT_LE(peak.descriptors, GetParam().maxFds) << name;
    }
}

std::string whole(const std::string &path, const std::string &body)
{
    return requestHead("POST", path,
                       "Idempotency-Key: crowd\r\nContent-Length: " + std::to_string(body.size())
                           + "\r\n")
        + body;
}

/// \brief The body of a search with a query of nearly \a bytes.
std::string longSearch(std::size_t bytes)
{
    const std::string start = R"({"index":"pots","rank":"background","query":")";
    const std::string end = "\"}";
    return start + std::string(bytes - start.size() - end.size(), 'x') + end;
}

/// Guards against limits on memory that refuse a single request within the limits in force.
class LargestSearchTest : public DaemonMemoryTest
{ };

TEST_P(LargestSearchTest, isServedInCalm)
{
    ASSERT_TRUE(m_fleet.start());
    EXPECT_TRUE(isAnswered(
        [this] { return m_fleet.post(m_fleet.entry(1), "/v1/search", longSearch(bodyBytes)); }));
}

INSTANTIATE_TEST_SUITE_P(Limits, LargestSearchTest,
                         testing::Values(DaemonCrowdCase{"longQuery", "", 0, {}, {}}),
                         [](const auto &info) { return info.param.name; });

std::vector<DaemonCrowdCase> daemonCrowdCases()
{
    const std::string unfinished = post("/v1/search", bodyBytes, bodyBytes - 1);
    const std::string unfinishedAdmin = post("/status", bodyBytes, bodyBytes - 1);
    const std::string chunked = chunkedPost("/v1/search", 262);
    const std::string trailer
        = chunkedPost("/v1/search", 1) + "0\r\nX-Trailer: " + std::string(30'000, 'x');
    const std::string longQuery = whole("/v1/search", longSearch(bodyBytes));
    const std::string manyValues
        = whole("/v1/search", "[" + repeated("1,", bodyBytes / 2 - 1) + "1]");
    const std::string longBooking = whole("/v1/bookings",
                                          R"({"index":"pots","rank":"urgent","payload":")"
                                              + std::string(bodyBytes - 200, 'x') + "\"}");
    const std::string longPath = repeated(get("/" + std::string(7000, 'x')), 100);
    const std::string metrics = repeated(get("/metrics"), 500);
    const CrowdBehaviour sends;
    const CrowdBehaviour sendsPieces{.pieceBytes = 16'384};
    const CrowdBehaviour trickles{.pieceBytes = 16'384, .pause = 100ms};
    const CrowdBehaviour returns{.returns = true};
    return {
        {"bodyOneByteShort", "", 200, sends, {unfinished}},
        {"bodyOneByteShortInPieces", "", 200, sendsPieces, {unfinished}},
        {"trickledBodies", "", 200, trickles, {unfinished}},
        {"bodiesOfReturningCallers", "", 200, returns, {unfinished}},
        {"chunkedBodies", "", 200, sends, {chunked}},
        {"trailersWithoutEnd", "", 700, sends, {trailer}},
        {"headsOfManyFields",
         "",
         700,
         sends,
         {"GET /v1/search HTTP/1.1\r\n" + repeated("a:\r\n", 1600)}},
        {"longQueries", "", 100, returns, {longQuery}},
        {"manyValues", "", 100, returns, {manyValues}},
        {"longBookings", "", 100, returns, {longBooking}},
        {"responsesNotRead", "", 600, sends, {longPath}},
        {"idleConnections", "", 400, sends, {""}, 200},
        {"allKinds", "", 400, returns, {unfinished, chunked, trailer, longQuery, manyValues, ""}},
        {"entryAdminBodies", "entry-1", 200, sends, {unfinishedAdmin}},
        {"relayAdminBodies", "relay-1", 200, sends, {unfinishedAdmin}},
        {"bookingAdminBodies", "booking-1", 200, sends, {unfinishedAdmin}},
        {"entryAdminResponsesNotRead", "entry-1", 600, sends, {metrics}},
        {"relayAdminIdleConnections", "relay-1", 400, sends, {""}, 200},
    };
}

INSTANTIATE_TEST_SUITE_P(Crowds, DaemonMemoryTest, testing::ValuesIn(daemonCrowdCases()),
                         [](const auto &info) { return info.param.name; });

} // namespace
} // namespace gwt::test
