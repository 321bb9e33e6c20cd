#include "TaskRunner.h"
#include "peer/Peer.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

namespace gwt {
namespace {

using namespace std::chrono_literals;
using asio::ip::tcp;

const std::string settingsFrame("\0\0\0\x04\0\0\0\0\0", 9);
const std::string goawayFrame("\0\0\x08\x07\0\0\0\0\0" // frame header of GOAWAY
                              "\0\0\0\0" // last stream 0: no stream was processed
                              "\0\0\0\0", // no error
                              17);
const std::string refusedFrame("\0\0\x04\x03\0\0\0\0\x01\0\0\0\x07", 13); // RST_STREAM 1
const std::string internalErrorFrame("\0\0\x04\x03\0\0\0\0\x01\0\0\0\x02", 13);

/// \brief Accepts connections and replies to the first request of each with fixed frames.
class FixedReplyServer
{
public:
    explicit FixedReplyServer(std::string frames)
        : m_frames(std::move(frames))
        , m_acceptor(m_context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
        , m_address("127.0.0.1", m_acceptor.local_endpoint().port())
        , m_thread([this] { run(); })
    { }

    ~FixedReplyServer()
    {
        m_isEnding = true;
        boost::system::error_code ignored;
        tcp::socket(m_context).connect(
            tcp::endpoint(asio::ip::make_address("127.0.0.1"), m_address.port), ignored);
        m_thread.join();
    }

    const Endpoint &address() const { return m_address; }
    int connections() const { return m_connections; }

private:
    void run()
    {
        while (true) {
            boost::system::error_code failure;
            tcp::socket socket(m_context);
            m_acceptor.accept(socket, failure);
            if (m_isEnding)
                return;
            ++m_connections;
            asio::write(socket, asio::buffer(settingsFrame), failure);
            // Only the body of the request is not compressed.
            std::string received;
            std::array<char, 4096> buffer{};
            while (!failure && received.find("xxxx") == std::string::npos)
                received.append(buffer.data(), socket.read_some(asio::buffer(buffer), failure));
            asio::write(socket, asio::buffer(m_frames), failure);
            m_sockets.push_back(std::move(socket));
            if (m_frames.empty())
                m_sockets.back().close(failure);
        }
    }

    asio::io_context m_context;
    std::string m_frames;
    tcp::acceptor m_acceptor;
    Endpoint m_address;
    std::vector<tcp::socket> m_sockets;
    std::atomic<int> m_connections = 0;
    std::atomic<bool> m_isEnding = false;
    std::thread m_thread;
};

struct CallFailureCase
{
    std::string name;
    std::string frames;
    ErrorCode code;
    int connections;
};

void PrintTo(const CallFailureCase &ended, std::ostream *out)
{
    *out << ended.name;
}

class PeerCallFailureTest : public testing::TestWithParam<CallFailureCase>
{ };

TEST_P(PeerCallFailureTest, callIsRetriedOnceAndOnlyAfterGoaway)
{
    FixedReplyServer server(GetParam().frames);
    WorkerPool pool(2);
    PeerClient client(pool.executor(), 1000ms);
    const PeerRequest request("/echo", std::string(100, 'x'), "id", Clock::now() + 5s);
    const auto reply = runTask(pool, client.call(server.address(), request));
    ASSERT_FALSE(isOk(reply));
    EXPECT_EQ(errorOf(reply).code, GetParam().code) << errorOf(reply).reason;
    EXPECT_EQ(server.connections(), GetParam().connections);
    pool.stop();
}

INSTANTIATE_TEST_SUITE_P(
    Ends, PeerCallFailureTest,
    testing::Values(CallFailureCase{"goaway", goawayFrame, ErrorCode::Unavailable, 2},
                    CallFailureCase{"refusedStream", refusedFrame, ErrorCode::Unavailable, 1},
                    CallFailureCase{"internalError", internalErrorFrame, ErrorCode::Unknown, 1},
                    CallFailureCase{"cut", "", ErrorCode::Unknown, 1}),
    [](const auto &info) { return info.param.name; });

TEST(PeerGoawayTest, callsRunOnceOrFailUnavailableDuringServerReplacement)
{
    WorkerPool pool(4);
    Metrics metrics;
    PeerClient client(pool.executor(), 1000ms, metrics);
    std::array<std::atomic<int>, 4000> executions{};
    const auto serve = [&](PeerServer &server, const Endpoint &local) {
        server.route("/count", [&](PeerRequest request) -> Task<PeerReply> {
            ++executions[std::stoul(request.body)];
            co_return PeerReply(200, request.body);
        });
        // The previous listener closes on its own strand, shortly after its shutDown().
        Outcome<Endpoint> bound = server.listen(local);
        const TimePoint bindDeadline = Clock::now() + 10s;
        while (!isOk(bound) && Clock::now() < bindDeadline) {
            std::this_thread::sleep_for(1ms);
            bound = server.listen(local);
        }
        return valueOf(bound);
    };
    std::vector<std::unique_ptr<PeerServer>> servers;
    servers.push_back(std::make_unique<PeerServer>(pool.executor()));
    const Endpoint address = serve(*servers[0], {"127.0.0.1", 0});
    std::vector<std::future<Outcome<PeerReply>>> replies;
    for (std::size_t i = 0; i < executions.size(); ++i) {
        if (i % 400 == 399)
            servers.back()->shutDown();
        PeerRequest request("/count", std::to_string(i), "id", Clock::now() + 10s);
        replies.push_back(
            asio::co_spawn(pool.strand(), client.call(address, request), asio::use_future));
        if (i % 400 == 0)
            replies.back().wait(); // each server is reached before the next one starts
        if (i % 400 != 399)
            continue;
        std::this_thread::sleep_for(10ms);
        servers.push_back(std::make_unique<PeerServer>(pool.executor()));
        serve(*servers.back(), address);
    }
    int answered = 0;
    for (std::size_t i = 0; i < executions.size(); ++i) {
        const auto reply = replies[i].get();
        answered += isOk(reply) ? 1 : 0;
        if (!isOk(reply)) {
            EXPECT_EQ(errorOf(reply).code, ErrorCode::Unavailable) << errorOf(reply).reason;
        }
        EXPECT_EQ(executions[i], isOk(reply) ? 1 : 0);
    }
    EXPECT_GT(answered, 0);
    EXPECT_GT(client.callsRetried(), 0U);
    EXPECT_NE(metrics.text().find("gwt_peer_calls_repeated_total "
                                  + std::to_string(client.callsRetried())),
              std::string::npos);
    pool.stop();
}

TEST(PeerGoawayTest, requestIsInProgressUntilItsReplyIsWritten)
{
    WorkerPool pool(2);
    PeerServer server(pool.executor());
    std::atomic<bool> isStarted = false;
    server.route("/large", [&](PeerRequest) -> Task<PeerReply> {
        isStarted = true;
        co_return PeerReply(200, std::string(4'000'000, 'x'));
    });
    const Endpoint address = valueOf(server.listen({"127.0.0.1", 0}));
    PeerClient client(pool.executor(), 1000ms);
    PeerRequest request("/large", "", "id", Clock::now() + 10s);
    auto reply = asio::co_spawn(pool.strand(), client.call(address, request), asio::use_future);
    while (!isStarted)
        std::this_thread::yield();
    server.shutDown();
    while (server.requestsInProgress() > 0 || server.sessions() > 0)
        std::this_thread::yield();
    server.closeAll();
    EXPECT_TRUE(isOk(reply.get()));
    pool.stop();
}

} // namespace
} // namespace gwt
