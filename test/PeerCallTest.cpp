#include "TaskRunner.h"
#include "common/Sleep.h"
#include "peer/Peer.h"

#include <gtest/gtest.h>

#include <atomic>

namespace gwt {
namespace {

using namespace std::chrono_literals;

class PeerCallTest : public testing::Test
{
protected:
    PeerCallTest()
        : m_pool(4)
        , m_server(m_pool.executor())
        , m_client(m_pool.executor(), 1000ms)
    {
        m_server.route("/echo", [](PeerRequest request) -> Task<PeerReply> {
            co_return PeerReply{200, request.requestId + ":" + request.body};
        });
        m_server.route("/time", [](PeerRequest request) -> Task<PeerReply> {
            co_return PeerReply{200, request.deadline > Clock::now() ? "left" : "none"};
        });
        m_server.route("/hang", [this](PeerRequest request) -> Task<PeerReply> {
            ++m_hanging;
            while (!request.cancel.isCancelled())
                co_await sleepFor(5ms);
            ++m_cancelled;
            co_return PeerReply{};
        });
        m_address = valueOf(m_server.listen({"127.0.0.1", 0}));
    }

    ~PeerCallTest() override { m_pool.stop(); }

    Outcome<PeerReply> call(const std::string &path, const std::string &body,
                            Milliseconds timeout = 5000ms, CancelToken cancel = {})
    {
        return runTask(
            m_pool, m_client.call(m_address, {path, body, "id", Clock::now() + timeout, cancel}));
    }

    /// \brief Starts a call that gets no reply until it is cancelled.
    std::future<Outcome<PeerReply>> startHangingCall(Milliseconds timeout,
                                                     const CancelToken &cancel)
    {
        const PeerRequest request("/hang", "", "id", Clock::now() + timeout, cancel);
        return asio::co_spawn(m_pool.strand(), m_client.call(m_address, request), asio::use_future);
    }

    static bool waitFor(const std::atomic<int> &counter, int count)
    {
        for (int i = 0; i < 1000 && counter < count; ++i)
            std::this_thread::sleep_for(5ms);
        return counter >= count;
    }

    WorkerPool m_pool;
    PeerServer m_server;
    PeerClient m_client;
    Endpoint m_address;
    std::atomic<int> m_hanging = 0; ///< requests that have reached the handler
    std::atomic<int> m_cancelled = 0;
};

TEST_F(PeerCallTest, maximumDeadlineDoesNotOverflow)
{
    const Outcome<PeerReply> reply
        = runTask(m_pool, m_client.call(m_address, {"/time", "", "id", TimePoint::max()}));
    ASSERT_TRUE(isOk(reply));
    EXPECT_EQ(valueOf(reply).body, "left");
}

TEST_F(PeerCallTest, bodiesOfAllSizesAreEchoedUnchanged)
{
    for (const std::size_t size : {0UL, 1UL, 100'000UL, 6'000'000UL}) {
        const std::string body(size, 'x');
        const auto reply = call("/echo", body);
        ASSERT_TRUE(isOk(reply)) << errorOf(reply).reason;
        EXPECT_EQ(valueOf(reply).body, "id:" + body);
    }
}

TEST_F(PeerCallTest, concurrentCallsGetTheirOwnReplies)
{
    std::vector<std::future<Outcome<PeerReply>>> replies;
    for (int i = 0; i < 500; ++i) {
        PeerRequest request{
            "/echo", std::to_string(i), "r" + std::to_string(i), Clock::now() + 10s, {}};
        replies.push_back(
            asio::co_spawn(m_pool.strand(), m_client.call(m_address, request), asio::use_future));
    }
    for (int i = 0; i < 500; ++i) {
        const auto reply = replies[i].get();
        ASSERT_TRUE(isOk(reply));
        EXPECT_EQ(valueOf(reply).body, "r" + std::to_string(i) + ":" + std::to_string(i));
    }
}

TEST_F(PeerCallTest, expiredDeadlineEndsCallAndCancelsHandler)
{
    auto future = startHangingCall(1s, {});
    ASSERT_TRUE(waitFor(m_hanging, 1));
    const auto reply = future.get();
    ASSERT_FALSE(isOk(reply));
    EXPECT_EQ(errorOf(reply).code, ErrorCode::Timeout);
    EXPECT_TRUE(waitFor(m_cancelled, 1));
}

TEST_F(PeerCallTest, cancelPropagatesToHandler)
{
    const CancelToken cancel;
    auto future = startHangingCall(10s, cancel);
    ASSERT_TRUE(waitFor(m_hanging, 1));
    cancel.cancel();
    const auto reply = future.get();
    ASSERT_FALSE(isOk(reply));
    EXPECT_EQ(errorOf(reply).code, ErrorCode::Cancelled);
    EXPECT_TRUE(waitFor(m_cancelled, 1));
}

TEST_F(PeerCallTest, cancelledCallAlwaysReportsCancelled)
{
    constexpr int calls = 500;
    for (int i = 1; i <= calls; ++i) {
        const CancelToken cancel;
        auto future = startHangingCall(10s, cancel);
        ASSERT_TRUE(waitFor(m_hanging, i));
        cancel.cancel();
        const auto reply = future.get();
        ASSERT_FALSE(isOk(reply));
        EXPECT_EQ(errorOf(reply).code, ErrorCode::Cancelled) << errorOf(reply).reason;
    }
    EXPECT_TRUE(waitFor(m_cancelled, calls));
}

TEST_F(PeerCallTest, unreachablePeerGivesErrorThatProvesNotRun)
{
    const auto reply = runTask(
        m_pool, m_client.call({"127.0.0.1", 1}, {"/echo", "", "id", Clock::now() + 5s, {}}));
    ASSERT_FALSE(isOk(reply));
    EXPECT_TRUE(provesNotRun(errorOf(reply).code));
}

TEST_F(PeerCallTest, lostSessionGivesUnknownOutcome)
{
    auto future = startHangingCall(10s, {});
    ASSERT_TRUE(waitFor(m_hanging, 1));
    m_server.closeAll();
    const auto reply = future.get();
    ASSERT_FALSE(isOk(reply));
    EXPECT_EQ(errorOf(reply).code, ErrorCode::Unknown);
    EXPECT_FALSE(provesNotRun(errorOf(reply).code));
}

} // namespace
} // namespace gwt
