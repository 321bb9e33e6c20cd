#include "GatewayFixture.h"

namespace gwt::test {
namespace {

struct FleetCase
{
    std::string name;
    int lookups; ///< at once, while this process is alone
    bool isGrownWhileInUse; ///< the fleet grows before the responses have arrived
    int fleetSize;
    int allowed; ///< connections that remain
};

class FleetGrowthTest : public GatewayTest, public testing::WithParamInterface<FleetCase>
{ };

// Guards against a process that keeps the connections of its former share, so that a backend server
// has none left for the processes that have joined.
TEST_P(FleetGrowthTest, idleConnectionsBeyondTheShareAreClosed)
{
    const FleetCase &fleet = GetParam();
    ScriptedServer &server = addServer("s", {okResponse("ok"), 50ms});
    addSingleRoute(true);
    m_config.services.push_back({"s", "/health", 12});
    start();
    m_core.onMembers(std::vector<FleetMember>(1));
    std::vector<std::shared_ptr<ClientConnection>> callers;
    int served = 0;
    callers.reserve(static_cast<std::size_t>(fleet.lookups));
    for (int i = 0; i < fleet.lookups; ++i)
        callers.push_back(connect());
    for (const auto &caller : callers) {
        caller->exchange(
            request("/one/1"), false, nullptr,
            [&](const Outcome<WireResponse> &outcome) { served += isOk(outcome) ? 1 : 0; });
    }
    if (fleet.isGrownWhileInUse) {
        ASSERT_TRUE(runUntil(m_context, [&] {
            return static_cast<int>(server.requests().size()) == fleet.lookups;
        }));
    } else {
        ASSERT_TRUE(runUntil(m_context, [&] { return served == fleet.lookups; }));
    }
    EXPECT_EQ(server.accepted(), fleet.lookups);
    m_core.onMembers(std::vector<FleetMember>(static_cast<std::size_t>(fleet.fleetSize)));
    EXPECT_TRUE(runUntil(m_context,
                         [&] {
                             return served == fleet.lookups
                                 && server.accepted() - server.closedByPeer() == fleet.allowed;
                         }))
        << server.accepted() << " - " << server.closedByPeer();
    EXPECT_EQ(sendRequest("/one/1").result_int(), 200U);
    EXPECT_EQ(server.accepted(), fleet.lookups) << "a connection within the share is used again";
}

INSTANTIATE_TEST_SUITE_P(Fleets, FleetGrowthTest,
                         testing::Values(FleetCase{"idle", 8, false, 4, 2},
                                         FleetCase{"inUse", 8, true, 4, 2},
                                         FleetCase{"smallestShare", 8, false, 20, 1},
                                         FleetCase{"withinTheShare", 2, false, 4, 2}),
                         [](const auto &info) { return info.param.name; });

} // namespace
} // namespace gwt::test
