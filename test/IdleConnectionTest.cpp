#include "GatewayFixture.h"

namespace gwt::test {
namespace {

/// Longer than a connection may be idle before it is used for a non-idempotent request.
constexpr Milliseconds longPause{550};

struct IdleCase
{
    std::string name;
    int servers;
    int maxConnections; ///< of each backend server, for one process
    int concurrentLookups; ///< idempotent requests that open connections first
    int concurrentBookings;
};

class IdleConnectionTest : public GatewayTest, public testing::WithParamInterface<IdleCase>
{
protected:
    IdleConnectionTest()
    {
        for (int number = 0; number < GetParam().servers; ++number)
            addServer("s", {okResponse("ok"), 5ms});
        addSingleRoute(true);
        Route &bookings = addRoute("/book/");
        bookings.isIdempotent = false;
        bookings.services = {{"s", 1}};
        // One connection is left unused; see connectionShare().
        m_config.services.push_back({"s", "/health", GetParam().maxConnections + 1});
        start();
        m_core.onMembers(std::vector<FleetMember>(1));
    }

    /// \brief Sends \a count requests at once and returns the number of those that succeed.
    int countServed(const std::string &path, int count)
    {
        std::vector<std::shared_ptr<ClientConnection>> callers;
        int ended = 0;
        int served = 0;
        callers.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i)
            callers.push_back(connect());
        for (const auto &caller : callers) {
            caller->exchange(request(path, "X-Deadline-Ms: 1000\r\n"), false, nullptr,
                             [&](const Outcome<WireResponse> &outcome) {
                                 ++ended;
                                 served += isOk(outcome) && valueOf(outcome).result_int() == 200
                                     ? 1
                                     : 0;
                             });
        }
        runUntil(m_context, [&] { return ended == count; });
        for (const auto &caller : callers)
            caller->close();
        return served;
    }
    int openConnections() const
    {
        int open = 0;
        for (const auto &server : m_servers)
            open += server->accepted() - server->closedByPeer();
        return open;
    }
};

// Guards against non-idempotent requests that are held until they expire, because connections that
// have been idle for too long to carry them fill the limit of their backend servers.
TEST_P(IdleConnectionTest, aBookingAfterAPauseIsServedAtTheConnectionLimit)
{
    const IdleCase &idle = GetParam();
    EXPECT_EQ(countServed("/one/1", idle.concurrentLookups), idle.concurrentLookups);
    for (int round = 0; round < 4; ++round) {
        runFor(longPause);
        EXPECT_EQ(countServed("/book/1", idle.concurrentBookings), idle.concurrentBookings)
            << "round " << round;
        EXPECT_LE(openConnections(), idle.servers * idle.maxConnections);
    }
}

INSTANTIATE_TEST_SUITE_P(Limits, IdleConnectionTest,
                         testing::Values(IdleCase{"oneConnection", 1, 1, 0, 1},
                                         IdleCase{"twoServers", 2, 2, 0, 1},
                                         IdleCase{"concurrent", 2, 2, 0, 4},
                                         IdleCase{"queued", 1, 1, 0, 3},
                                         IdleCase{"besideLookups", 1, 3, 3, 1}),
                         [](const auto &info) { return info.param.name; });

} // namespace
} // namespace gwt::test
