#include "GatewayFixture.h"

#include "common/Random.h"

#include <map>
#include <set>

namespace gwt::test {
namespace {

struct LossCase
{
    std::string name;
    double lost; ///< share of the responses that are lost with their connection
    double closed; ///< share of the other responses that close their connection
    double surplus = 0; ///< share of the responses that stand behind a refusal without an id
};

class AttemptLimitTest : public GatewayTest,
                         public testing::WithParamInterface<std::tuple<LossCase, int>>
{ };

// Guards against requests that run on more servers than their route allows: a connection that ends
// without a response proves nothing, also if it was new.
TEST_P(AttemptLimitTest, aRequestRunsOnAtMostMaxAttemptsServers)
{
    constexpr int servers = 4;
    constexpr int requests = 150;
    constexpr std::size_t maxAttempts = 2;
    const LossCase &losses = std::get<0>(GetParam());
    RandomEngine random(static_cast<std::uint64_t>(std::get<1>(GetParam())));
    std::uniform_real_distribution<double> share(0, 1);
    std::map<std::string, std::set<int>> serversOf;
    std::set<int> inUse; ///< servers whose connection has carried a response
    for (int number = 0; number < servers; ++number) {
        addServer("s", [&, number](const ServerRequest &request) {
            const std::string id(request["X-Request-Id"]);
            serversOf[id].insert(number);
            if (share(random) < losses.lost)
                return ScriptedReply{"", 1ms, true};
            // Left over from an earlier request on the connection.
            const bool isInUse = !inUse.insert(number).second;
            if (isInUse && losses.surplus > 0 && share(random) < losses.surplus)
                return ScriptedReply{httpResponse(503, "X-Not-Executed: 1\r\n", "")};
            const bool closes = share(random) < losses.closed;
            const std::string fields = signatureField + "X-Request-Id: " + id + "\r\n";
            return ScriptedReply{okResponse("ok", fields + (closes ? "Connection: close\r\n" : "")),
                                 1ms};
        });
    }
    addSingleRoute(true);
    m_config.routes.front().maxAttempts = maxAttempts;
    start();
    int served = 0;
    for (int i = 0; i < requests; ++i) {
        const std::string id = "id-" + std::to_string(i);
        const auto outcome
            = exchange("GET /one/1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id + "\r\n\r\n");
        served += isOk(outcome) && valueOf(outcome).result_int() == 200 ? 1 : 0;
    }
    for (const auto &[id, used] : serversOf)
        EXPECT_LE(used.size(), maxAttempts) << id;
    EXPECT_GT(served, 0);
}

INSTANTIATE_TEST_SUITE_P(Losses, AttemptLimitTest,
                         testing::Combine(testing::Values(LossCase{"mostlyUsed", 0.4, 0.3},
                                                          LossCase{"mostlyNew", 0.4, 0.8},
                                                          LossCase{"surplusRefusals", 0, 0, 0.6}),
                                          testing::Range(1, 4)),
                         [](const auto &info) {
                             return std::get<0>(info.param).name
                                 + std::to_string(std::get<1>(info.param));
                         });

} // namespace
} // namespace gwt::test
