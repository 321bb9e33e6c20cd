#include "platform/LeaseFeed.h"
#include "ScriptedServer.h"

#include <gtest/gtest.h>

namespace gwt::platform {
namespace {

using namespace std::chrono_literals;
using test::httpResponse;
using test::ScriptedReply;
using test::ScriptedServer;
using test::ServerRequest;

// The reply to a watch may have been sent long before it is read, because the process was paused.
// A holder that took it for a new proof would grant beside its successor.
TEST(LeaseFeedTest, aReplyProvesTheLeasesAsOfTheCallOnly)
{
    boost::asio::io_context context;
    TimerQueue timers(context);
    Metrics metrics;
    std::vector<TimePoint> watches;
    ScriptedServer server(context, timers, [&](const ServerRequest &request) {
        if (request.target().find("watch=") == boost::beast::string_view::npos)
            return ScriptedReply{httpResponse(200, "", R"({"items":[],"asOf":5})")};
        watches.push_back(Clock::now());
        return ScriptedReply{httpResponse(200, "", R"({"events":[],"asOf":5})"), 300ms};
    });
    LeaseFeed feed(context, timers, metrics, server.endpoint());
    feed.startWatching([](const LeaseTable &, std::uint64_t) {}, [] {});
    ASSERT_TRUE(test::runUntil(context, [&] { return watches.size() == 2; }));
    EXPECT_LE(feed.provenAt(), watches[0]);
    EXPECT_GE(feed.provenAt(), watches[0] - 100ms);
}

} // namespace
} // namespace gwt::platform
