#include "GatewayFixture.h"

#include <boost/asio/write.hpp>

namespace gwt::test {
namespace {

struct EndCase
{
    std::string reason;
    bool isStopping; ///< else memory is short
};

/// Guards against a log and counters that give a wrong cause for a request that was ended.
class RequestEndReasonTest : public GatewayTest, public testing::WithParamInterface<EndCase>
{
protected:
    static constexpr std::size_t s_memoryMb = 16; ///< a budget of 2 MB
    MemoryBudget m_budget{HostLimits{s_memoryMb, 0}};
    CallerMemory m_memory{m_budget, m_timers, m_metrics};
};

TEST_P(RequestEndReasonTest, isCountedForARequestThatMayHaveRun)
{
    CallerServer callers(m_context,
                         CallerContext{m_timers, m_core, m_metrics, m_core.limits(), m_headerNames,
                                       false, &m_memory});
    m_gatewayEndpoint = valueOf(callers.listen({"127.0.0.1", 0}));
    addServer("s", [](const ServerRequest &) { return ScriptedReply{}; }); // hangs
    addSingleRoute(true);
    start();
    boost::asio::ip::tcp::socket socket = connectRaw();
    const std::string body(100'000, 'x');
    boost::asio::write(socket,
                       boost::asio::buffer(request("/one/1", "Content-Length: 100000\r\n", body)));
    runUntil(m_context, [&] { return !m_servers.front()->requests().empty(); });
    if (GetParam().isStopping) {
        callers.endRequests();
    } else {
        ASSERT_TRUE(m_budget.replies().tryReserve(2U << 20U));
        m_memory.setBytes(m_memory.add({}), 1, MemoryUse::Exchange);
    }
    runFor(20ms);
    EXPECT_NE(m_metrics.text().find("reason=\"" + GetParam().reason + "\"} 1"), std::string::npos)
        << m_metrics.text();
    socket.close();
    runUntil(m_context, [&] { return callers.connections() == 0; });
    callers.stopAccepting();
    runFor(5ms); // the handlers of the listener refer to it
}

INSTANTIATE_TEST_SUITE_P(Causes, RequestEndReasonTest,
                         testing::Values(EndCase{"memory", false}, EndCase{"stopping", true}),
                         [](const auto &info) { return info.param.reason; });

} // namespace
} // namespace gwt::test
