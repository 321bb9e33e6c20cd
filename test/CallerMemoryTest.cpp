#include "LoopbackAddress.h"
#include "ScriptedServer.h"
#include "soak/SoakGateway.h"
#include "standins/platform/FakePlatform.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
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

/// \brief One connection of the crowd; sends, and reads nothing unless told to.
class CrowdCaller : public std::enable_shared_from_this<CrowdCaller>
{
public:
    CrowdCaller(boost::asio::io_context &context, TimerQueue &timers,
                std::shared_ptr<const std::string> bytes, std::size_t pieceBytes)
        : m_socket(context)
        , m_timers(timers)
        , m_bytes(std::move(bytes))
        , m_pieceBytes(pieceBytes)
    { }

    void start(const Endpoint &remote)
    {
        m_socket.open(tcp::v4());
        // A response must not fit into the kernel's buffer of this side.
        m_socket.set_option(boost::asio::socket_base::receive_buffer_size(4096));
        m_socket.async_connect({boost::asio::ip::make_address(remote.address), remote.port},
                               [self = shared_from_this()](const auto &failure) {
                                   if (!failure)
                                       self->send();
                               });
    }
    void readSlowly()
    {
        m_timers.after(50ms, [weak = weak_from_this()] {
            const auto self = weak.lock();
            if (!self)
                return;
            boost::system::error_code failure;
            self->m_socket.non_blocking(true, failure);
            self->m_socket.read_some(boost::asio::buffer(self->m_piece), failure);
            self->readSlowly();
        });
    }

private:
    void send()
    {
        const std::size_t size = std::min(m_bytes->size() - m_sent, m_pieceBytes);
        if (size == 0)
            return;
        m_socket.async_write_some(boost::asio::buffer(m_bytes->data() + m_sent, size),
                                  [self = shared_from_this()](const auto &failure, std::size_t n) {
                                      self->m_sent += n;
                                      if (!failure)
                                          self->m_timers.after(1ms, [self] { self->send(); });
                                  });
    }

    tcp::socket m_socket;
    TimerQueue &m_timers;
    const std::shared_ptr<const std::string> m_bytes;
    const std::size_t m_pieceBytes;
    std::size_t m_sent = 0;
    std::array<char, 4096> m_piece{};
};

std::string post(const std::string &path, std::size_t length, std::size_t sent)
{
    return "POST " + path + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: crowd\r\nContent-Length: "
        + std::to_string(length) + "\r\n\r\n" + std::string(sent, 'x');
}

std::string get(const std::string &path)
{
    return "GET " + path + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: crowd\r\n\r\n";
}

std::string repeated(const std::string &text, std::size_t count)
{
    std::string all;
    for (std::size_t i = 0; i < count; ++i)
        all += text;
    return all;
}

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
    std::size_t pieceBytes;
    bool readsSlowly;
    std::string bytes; ///< that each caller sends
    int maxFds = 2000; ///< limits.maxFds of the process
};

constexpr std::size_t whole = std::numeric_limits<std::size_t>::max();

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
            boost::json::object{{"version", 1},
                                {"routes", routes},
                                {"services", services},
                                {"limits", {{"maxHeaderBytes", headBytes}}}});
    }
    void startCrowd()
    {
        const auto bytes = std::make_shared<const std::string>(GetParam().bytes);
        const Endpoint remote = GetParam().isAdmin ? m_gateway->readiness() : m_gateway->callers();
        for (int i = 0; i < GetParam().callers; ++i) {
            m_crowd.push_back(
                std::make_shared<CrowdCaller>(m_context, m_timers, bytes, GetParam().pieceBytes));
            m_crowd.back()->start(remote);
            if (GetParam().readsSlowly)
                m_crowd.back()->readSlowly();
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
        const std::string process = "/proc/" + std::to_string(m_gateway->pid());
        std::error_code failure;
        std::filesystem::directory_iterator entries(process + "/fd", failure);
        m_mostDescriptors = std::max(m_mostDescriptors,
                                     static_cast<int>(std::distance(begin(entries), end(entries))));
        std::ifstream status(process + "/status");
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with("VmHWM:"))
                m_peakKb = std::stoul(line.substr(sizeof("VmHWM:")));
        }
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
    int m_mostDescriptors = 0;
    std::size_t m_peakKb = 0;
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
    std::cout << "peak " << m_peakKb / 1024 << " MB, descriptors " << m_mostDescriptors << "\n";
    EXPECT_LE(m_peakKb, memoryMb * 1024);
    EXPECT_LE(m_mostDescriptors, GetParam().maxFds);
}

std::vector<CrowdCase> crowdCases()
{
    const std::string unfinished = post("/one/1", bodyBytes, bodyBytes - 1);
    return {
        {"bodyOneByteShort", false, 600, whole, false, unfinished},
        {"bodyOneByteShortInPieces", false, 600, 16'384, false, unfinished},
        {"headWithoutEnd", false, 900, whole, false, endlessHead()},
        {"wholeBodyToHangingServer", false, 400, whole, false,
         post("/hang/1", bodyBytes, bodyBytes)},
        {"pipelinedRequests", false, 900, whole, false, repeated(get("/hang/1"), 1000)},
        {"responsesNotRead", false, 300, whole, false, repeated(get("/large/1"), 20)},
        {"largeResponsesReadSlowly", false, 300, whole, true, get("/large/1")},
        {"idleConnections", false, 400, whole, false, "", 200},
        {"adminBodyOneByteShort", true, 600, whole, false, unfinished},
        {"adminHeadWithoutEnd", true, 900, whole, false, endlessHead()},
        {"adminResponsesNotRead", true, 600, whole, false, repeated(get("/metrics"), 500)},
        {"adminIdleConnections", true, 400, whole, false, "", 200},
    };
}

INSTANTIATE_TEST_SUITE_P(Crowds, CallerMemoryTest, testing::ValuesIn(crowdCases()),
                         [](const auto &info) { return info.param.name; });

} // namespace
} // namespace gwt::test
