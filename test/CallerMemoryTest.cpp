#include "CrowdCaller.h"
#include "ScriptedServer.h"
#include "soak/SoakGateway.h"
#include "standins/platform/FakePlatform.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <iostream>

namespace gwt::test {
namespace {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;

constexpr std::size_t memoryMb = 64; ///< limits.memoryMb of the process
constexpr std::size_t bodyBytes = 262'144; ///< the default limit of a body
constexpr std::size_t headBytes = 131'072; ///< limit of a head, in the configuration
constexpr std::size_t largeResponseBytes = 1U << 20U;
constexpr Duration crowdTime = 6s; ///< for which the crowd sends before the ordinary request
constexpr Duration answerLimit = 60s; ///< far above what an ordinary caller needs

std::string endlessHead()
{
    std::string head = "GET /one/1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: crowd\r\n";
    while (head.size() < headBytes - 8200)
        head += "X-Field: " + std::string(8000, 'x') + "\r\n";
    return head;
}

struct CrowdCase
{
    std::string name;
    bool isAdmin; ///< connects to the address of health and metrics, else to that of callers
    int callers;
    CrowdBehaviour behaviour;
    std::vector<std::string> bytes; ///< that the callers send, each the next one in turn
    int maxFds = 2000; ///< limits.maxFds of the process
    std::size_t maxBodyBytes = bodyBytes; ///< in the configuration
};

/// Guards against a process that callers make grow without bound: the system then ends it.
class CallerMemoryTest : public testing::TestWithParam<CrowdCase>
{
protected:
    CallerMemoryTest()
    {
        std::string pattern
            = (std::filesystem::temp_directory_path() / "gwt-memory-XXXXXX").string();
        m_folder = ::mkdtemp(pattern.data());
        publish();
        m_gateway = std::make_unique<SoakGateway>(
            m_folder, 0, valueOf(m_platform.listen({"127.0.0.1", 0})),
            "[limits]\nmemoryMb = " + std::to_string(memoryMb)
                + "\nmaxFds = " + std::to_string(GetParam().maxFds) + "\n");
        m_gateway->start({});
    }
    ~CallerMemoryTest() override
    {
        m_gateway.reset();
        std::filesystem::remove_all(m_folder);
    }
    void publish()
    {
        boost::json::array routes;
        boost::json::array services;
        const auto add = [&](const std::string &name, const ScriptedServer &server) {
            routes.push_back({{"name", name},
                              {"hostname", "h"},
                              {"pathPrefix", "/" + name + "/"},
                              {"routeType", "idempotent"},
                              {"timeoutMs", 30000},
                              {"targetLatencyMs", 500},
                              {"priority", 1},
                              {"attempts", 2},
                              {"service", name}});
            services.push_back({{"name", name}, {"healthPath", "/h"}, {"maxConnections", 1000}});
            m_platform.data().overwrite(
                "servers", "i-" + name,
                boost::json::object{{"service", name},
                                    {"address", toString(server.endpoint())},
                                    {"zone", "z"},
                                    {"version", "v1"},
                                    {"slots", 500},
                                    {"state", "ready"},
                                    {"seq", 1},
                                    {"born", 1},
                                    {"warmupLeftMs", 0}});
        };
        add("one", m_server);
        add("large", m_largeServer);
        add("hang", m_hangingServer);
        m_platform.data().overwrite(
            "config", "main",
            boost::json::object{
                {"version", 1},
                {"routes", routes},
                {"services", services},
                {"limits",
                 {{"maxHeaderBytes", headBytes}, {"maxBodyBytes", GetParam().maxBodyBytes}}}});
    }
    void startCrowd()
    {
        std::vector<std::shared_ptr<const std::string>> texts;
        for (const std::string &bytes : GetParam().bytes)
            texts.push_back(std::make_shared<const std::string>(bytes));
        const Endpoint remote = GetParam().isAdmin ? m_gateway->readiness() : m_gateway->callers();
        for (int i = 0; i < GetParam().callers; ++i) {
            m_crowd.push_back(
                std::make_shared<CrowdCaller>(m_context, m_timers, GetParam().behaviour,
                                              texts[static_cast<std::size_t>(i) % texts.size()]));
            m_crowd.back()->start(remote);
        }
    }
    /// \brief Sends \a request until it is answered with 200; callers may repeat after a refusal.
    bool isAnswered(const Endpoint &remote, const std::string &request)
    {
        const TimePoint end = Clock::now() + answerLimit;
        while (Clock::now() < end && !m_hasEnded) {
            boost::system::error_code failure;
            tcp::socket socket(m_context);
            socket.connect({boost::asio::ip::make_address(remote.address), remote.port}, failure);
            if (!failure)
                socket.send(boost::asio::buffer(request), 0, failure);
            std::string response;
            bool isDone = !!failure;
            std::array<char, 4096> piece{};
            std::function<void()> read = [&] {
                socket.async_read_some(boost::asio::buffer(piece), [&](const auto &code, auto n) {
                    response.append(piece.data(), n);
                    isDone = code || response.find("\r\n\r\n") != std::string::npos;
                    if (!isDone)
                        read();
                });
            };
            if (!failure)
                read();
            run([&] { return isDone; }, 5s);
            socket.close(failure);
            m_context.poll();
            if (response.starts_with("HTTP/1.1 200"))
                return true;
            run([] { return false; }, 100ms);
        }
        return false;
    }
    void run(const std::function<bool()> &isDone, Duration limit)
    {
        const TimePoint sampling = Clock::now() + limit;
        runUntil(
            m_context,
            [&] {
                sample();
                return isDone() || m_hasEnded || Clock::now() >= sampling;
            },
            limit);
    }
    void sample()
    {
        const TimePoint now = Clock::now();
        if (now - m_sampledAt < 50ms)
            return;
        m_sampledAt = now;
        m_hasEnded = m_hasEnded || m_gateway->reap().has_value();
        if (m_hasEnded)
            return;
        m_peak.sample(m_gateway->pid(), {m_gateway->callers(), m_gateway->readiness()});
    }

    boost::asio::io_context m_context;
    TimerQueue m_timers{m_context};
    FakePlatform m_platform{m_context.get_executor()};
    ScriptedServer m_server{m_context, m_timers, [](const ServerRequest &) {
                                return ScriptedReply{
                                    httpResponse(200, "X-Server-Stamp: s\r\n", "ok")};
                            }};
    ScriptedServer m_largeServer{
        m_context, m_timers, [](const ServerRequest &) {
            return ScriptedReply{
                httpResponse(200, "X-Server-Stamp: s\r\n", std::string(largeResponseBytes, 'x'))};
        }};
    ScriptedServer m_hangingServer{m_context, m_timers,
                                   [](const ServerRequest &) { return ScriptedReply{}; }};
    std::string m_folder;
    std::unique_ptr<SoakGateway> m_gateway;
    std::vector<std::shared_ptr<CrowdCaller>> m_crowd;
    TimePoint m_sampledAt;
    bool m_hasEnded = false;
    ProcessPeak m_peak;
};

TEST_P(CallerMemoryTest, staysWithinItsLimitsAndAnswers)
{
    const std::string ordinary = get("/one/1");
    ASSERT_TRUE(isAnswered(m_gateway->callers(), ordinary)) << "not answered before the crowd";
    startCrowd();
    run([] { return false; }, crowdTime);
    EXPECT_TRUE(isAnswered(m_gateway->callers(), ordinary));
    EXPECT_TRUE(isAnswered(m_gateway->readiness(), get("/metrics")));
    EXPECT_FALSE(m_hasEnded);
    std::cout << "peak " << m_peak.memoryKb / 1024 << " MB, with the kernel "
              << m_peak.totalKb / 1024 << " MB, descriptors " << m_peak.descriptors << "\n";
    EXPECT_LE(m_peak.memoryKb, memoryMb * 1024);
    EXPECT_LE(m_peak.totalKb, memoryMb * 1024);
    EXPECT_LE(m_peak.descriptors, GetParam().maxFds);
}

/// Guards against limits on memory that refuse a single request within the limits in force.
class LargestRequestTest : public CallerMemoryTest
{ };

TEST_P(LargestRequestTest, isServedInCalm)
{
    EXPECT_TRUE(isAnswered(m_gateway->callers(), GetParam().bytes.front()));
    EXPECT_LE(m_peak.memoryKb, memoryMb * 1024);
}

std::vector<CrowdCase> largestRequests()
{
    const std::size_t raisedBytes = 5 << 20; // three copies fit
    const std::string fields = repeated("X-Field: " + std::string(7000, 'x') + "\r\n", 18);
    return {
        {"body", false, 0, {}, {post("/one/1", bodyBytes, bodyBytes)}},
        {"head", false, 0, {}, {requestHead("GET", "/one/1", fields)}},
        {"headOfManyFields",
         false,
         0,
         {},
         {requestHead("GET", "/one/1", repeated("a:\r\n", 26'000))}},
        {"chunkedBody", false, 0, {}, {chunkedPost("/one/1", 65) + "0\r\n\r\n"}},
        {"bodyOfARaisedLimit",
         false,
         0,
         {},
         {post("/one/1", raisedBytes, raisedBytes)},
         2000,
         raisedBytes},
    };
}

INSTANTIATE_TEST_SUITE_P(Limits, LargestRequestTest, testing::ValuesIn(largestRequests()),
                         [](const auto &info) { return info.param.name; });

std::vector<CrowdCase> crowdCases()
{
    const std::string unfinished = post("/one/1", bodyBytes, bodyBytes - 1);
    const CrowdBehaviour sends;
    const CrowdBehaviour sendsPieces{.pieceBytes = 16'384};
    const CrowdBehaviour trickles{.pieceBytes = 4096, .pause = 100ms};
    const CrowdBehaviour readsSlowly{.readsSlowly = true};
    const CrowdBehaviour returns{.returns = true};
    const std::string chunked = chunkedPost("/one/1", 65);
    const std::string trailer = chunkedPost("/one/1", 1) + "0\r\nX-Trailer: ";
    return {
        {"bodyOneByteShort", false, 600, sends, {unfinished}},
        {"bodyOneByteShortInPieces", false, 600, sendsPieces, {unfinished}},
        {"headWithoutEnd", false, 900, sends, {endlessHead()}},
        {"headOfManyFields",
         false,
         300,
         sends,
         {"GET /one/1 HTTP/1.1\r\n" + repeated("a:\r\n", headBytes / 5)}},
        {"wholeBodyToHangingServer", false, 400, sends, {post("/hang/1", bodyBytes, bodyBytes)}},
        {"pipelinedRequests", false, 900, sends, {repeated(get("/hang/1"), 1000)}},
        {"responsesNotRead", false, 300, sends, {repeated(get("/large/1"), 20)}},
        {"largeResponsesReadSlowly", false, 300, readsSlowly, {get("/large/1")}},
        {"idleConnections", false, 400, sends, {""}, 200},
        {"trickledBodies", false, 600, trickles, {unfinished}},
        {"bodiesOfReturningCallers", false, 600, returns, {unfinished}},
        {"chunkedBodies", false, 600, sends, {chunked}},
        {"trailersWithoutEnd", false, 900, sends, {trailer + std::string(headBytes - 8200, 'x')}},
        {"largestBodiesOfARaisedLimit",
         false,
         30,
         sends,
         {post("/one/1", 8 << 20, (8 << 20) - 1)},
         2000,
         8 << 20},
        {"allKinds",
         false,
         600,
         returns,
         {unfinished, endlessHead(), post("/hang/1", bodyBytes, bodyBytes),
          repeated(get("/hang/1"), 1000), repeated(get("/large/1"), 20), chunked, trailer, ""}},
        {"adminBodyOneByteShort", true, 600, sends, {unfinished}},
        {"adminHeadWithoutEnd", true, 900, sends, {endlessHead()}},
        {"adminResponsesNotRead", true, 600, sends, {repeated(get("/metrics"), 500)}},
        {"adminIdleConnections", true, 400, sends, {""}, 200},
    };
}

INSTANTIATE_TEST_SUITE_P(Crowds, CallerMemoryTest, testing::ValuesIn(crowdCases()),
                         [](const auto &info) { return info.param.name; });

} // namespace
} // namespace gwt::test
