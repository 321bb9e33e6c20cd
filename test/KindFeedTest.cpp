#include "platform/KindFeed.h"
#include "ScriptedServer.h"
#include "common/StoreRevision.h"
#include "platform/LoopTransport.h"

#include <gtest/gtest.h>

#include <thread>

namespace gwt::platform {
namespace {

using namespace std::chrono_literals;
using test::httpResponse;
using test::ScriptedReply;
using test::ScriptedServer;
using test::ServerRequest;

/// Records the calls of a feed, one line each.
class Recorder : public KindObserver
{
public:
    void onListing(const StoreListing &listing) override
    {
        m_calls.push_back("listing:" + std::to_string(listing.objects.size()));
    }
    void onChanges(const std::vector<StoreChange> &changes, std::uint64_t) override
    {
        std::string line;
        for (const StoreChange &change : changes) {
            line.append(line.empty() ? "" : " ");
            line.append((change.isRemoved ? "removed:" : "changed:") + change.object.name);
        }
        m_calls.push_back(line);
    }
    void onRecovery() override { m_calls.emplace_back("return"); }
    void onSilence() override { m_calls.emplace_back("silence"); }
    void onNewEra() override { m_calls.emplace_back("new era"); }
    const std::vector<std::string> &calls() const { return m_calls; }
    bool hasCall(const std::string &call) const
    {
        return std::find(m_calls.begin(), m_calls.end(), call) != m_calls.end();
    }

private:
    std::vector<std::string> m_calls;
};

ScriptedReply json(const std::string &body, int status = 200)
{
    return {httpResponse(status, "", body)};
}

bool isWatch(const ServerRequest &request)
{
    return request.target().find("watch=") != boost::beast::string_view::npos;
}

const std::string onePage = R"({"items":[{"meta":{"name":"a","revision":3},"spec":{}}],"asOf":5})";

constexpr KindFeedTiming timing{1ms, 600ms, 500ms};

class KindFeedTest : public testing::Test
{
protected:
    void follow(ScriptedServer &server)
    {
        m_transport = std::make_unique<LoopTransport>(m_context, m_timers, server.endpoint());
        m_store = std::make_unique<StoreClient>(*m_transport);
        m_feed = std::make_unique<KindFeed>(*m_store, m_timers, m_metrics, "servers", timing,
                                            m_recorder);
        m_feed->start();
    }

    boost::asio::io_context m_context;
    TimerQueue m_timers{m_context};
    Metrics m_metrics;
    Recorder m_recorder;
    std::unique_ptr<LoopTransport> m_transport;
    std::unique_ptr<StoreClient> m_store;
    std::unique_ptr<KindFeed> m_feed;
};

TEST_F(KindFeedTest, reportsAllPagesAsOneListing)
{
    ScriptedServer server(m_context, m_timers, [](const ServerRequest &request) {
        if (isWatch(request))
            return ScriptedReply{};
        if (request.target() == "/-/objects/servers")
            return json(R"({"items":[{"meta":{"name":"a"}}],"more":true,"asOf":5})");
        EXPECT_EQ(request.target(), "/-/objects/servers?after=a");
        return json(R"({"items":[{"meta":{"name":"b"}}],"more":false,"asOf":6})");
    });
    follow(server);
    ASSERT_TRUE(test::runUntil(m_context, [&] { return server.requests().size() == 3; }));
    EXPECT_EQ(m_recorder.calls(), std::vector<std::string>{"listing:2"});
    // The watch starts at the first page's revision, so that changes between the pages are
    // reported.
    EXPECT_TRUE(server.requests().back().target().starts_with("/-/objects/servers?watch=5&"));
}

struct PagingCase
{
    std::string name;
    std::string secondPage;
    std::vector<std::string> expectedTargets; ///< of the listing's calls
};

class UnreadablePageTest : public KindFeedTest, public testing::WithParamInterface<PagingCase>
{ };

// Guards against listing the same page for ever, and against losing the pages after it.
TEST_P(UnreadablePageTest, listingContinuesAfterTheLastReadableName)
{
    std::vector<std::string> targets;
    ScriptedServer server(m_context, m_timers, [&](const ServerRequest &request) {
        if (isWatch(request))
            return ScriptedReply{};
        targets.emplace_back(request.target());
        if (targets.size() == 1)
            return json(R"({"items":[{"meta":{"name":"a"}}],"more":true,"asOf":5})");
        if (request.target().ends_with("after=a"))
            return json(R"({"more":true,"asOf":6,"items":[)" + GetParam().secondPage + "]}");
        return json(R"({"items":[{"meta":{"name":"z"}}],"asOf":6})");
    });
    follow(server);
    ASSERT_TRUE(test::runUntil(m_context, [&] { return !m_recorder.calls().empty(); }));
    EXPECT_EQ(targets, GetParam().expectedTargets);
}

const std::string firstTarget = "/-/objects/servers";

INSTANTIATE_TEST_SUITE_P(
    Pages, UnreadablePageTest,
    testing::Values(PagingCase{"named",
                               R"({"meta":{"name":"b"},"spec":"\ud83d"})",
                               {firstTarget, firstTarget + "?after=a", firstTarget + "?after=b"}},
                    PagingCase{"namedBehindOther",
                               R"({"meta":{"name":"b"}},{"meta":{"name":"c"},"spec":"\ud83d"})",
                               {firstTarget, firstTarget + "?after=a", firstTarget + "?after=c"}},
                    PagingCase{"unnamed",
                               R"({"meta":{"name":"\ud83d"}})",
                               {firstTarget, firstTarget + "?after=a"}}),
    [](const auto &info) { return info.param.name; });

TEST_F(KindFeedTest, reportsEventsOfOneReplyInOneCall)
{
    int watches = 0;
    ScriptedServer server(m_context, m_timers, [&](const ServerRequest &request) {
        if (!isWatch(request))
            return json(onePage);
        return ++watches > 1 ? ScriptedReply{}
                             : json(R"({"events":[{"removed":false,"object":{"meta":{"name":"b"}}},
                                    {"removed":true,"object":{"meta":{"name":"a"}}}],"asOf":9})");
    });
    follow(server);
    EXPECT_TRUE(test::runUntil(m_context, [&] { return server.requests().size() == 3; }));
    EXPECT_EQ(m_recorder.calls(), (std::vector<std::string>{"listing:1", "changed:b removed:a"}));
    EXPECT_TRUE(server.requests().back().target().starts_with("/-/objects/servers?watch=9&"));
}

// All processes have started while the store did not answer: none has a state until it does.
TEST_F(KindFeedTest, aFirstListingWithoutReplyIsRepeatedSoon)
{
    int listings = 0;
    ScriptedServer server(m_context, m_timers, [&](const ServerRequest &request) {
        return isWatch(request) || ++listings == 1 ? ScriptedReply{} : json(onePage);
    });
    follow(server);
    EXPECT_TRUE(test::runUntil(
        m_context, [&] { return m_recorder.hasCall("listing:1"); }, 1s));
}

TEST_F(KindFeedTest, aStoreThatNeedsMoreThanASecondForAListingIsWaitedFor)
{
    ScriptedServer server(m_context, m_timers, [&](const ServerRequest &request) {
        return isWatch(request) ? ScriptedReply{}
                                : ScriptedReply{httpResponse(200, "", onePage), 1500ms};
    });
    follow(server);
    EXPECT_TRUE(test::runUntil(
        m_context, [&] { return m_recorder.hasCall("listing:1"); }, 6s));
}

TEST_F(KindFeedTest, listsAgainAfterBrokenWatch)
{
    // A store that has dropped its history may block a new watch without reporting missed changes.
    int watches = 0;
    ScriptedServer server(m_context, m_timers, [&](const ServerRequest &request) {
        if (!isWatch(request))
            return json(onePage);
        return ++watches == 1 ? ScriptedReply{"", 0ms, true} : ScriptedReply{};
    });
    follow(server);
    EXPECT_TRUE(test::runUntil(
        m_context, [&] { return m_recorder.calls().size() == 3; }, 3s));
    EXPECT_EQ(m_recorder.calls(), (std::vector<std::string>{"listing:1", "return", "listing:1"}));
}

// Guards against a watch that counts as one without news while the store has fallen silent on an
// open connection.
TEST_F(KindFeedTest, aWatchWithoutReplyIsLostSoonAfterItsWait)
{
    ScriptedServer server(m_context, m_timers, [&](const ServerRequest &request) {
        return isWatch(request) ? ScriptedReply{} : json(onePage);
    });
    follow(server);
    ASSERT_TRUE(test::runUntil(m_context, [&] { return server.requests().size() == 2; }));
    const TimePoint watchedAt = Clock::now();
    EXPECT_TRUE(m_feed->isCurrent());
    EXPECT_LE(m_feed->provenAt(), watchedAt);
    ASSERT_TRUE(test::runUntil(
        m_context, [&] { return m_feed->isLost(); },
        timing.watchWait + timing.replyMargin + 500ms));
    EXPECT_LE(m_feed->provenAt(), watchedAt);
    EXPECT_TRUE(test::runUntil(m_context, [&] { return m_recorder.calls().size() == 4; }));
    EXPECT_EQ(m_recorder.calls(),
              (std::vector<std::string>{"listing:1", "return", "silence", "listing:1"}));
    EXPECT_GT(m_feed->provenAt(), watchedAt);
}

// Guards against watches that are dropped, and sources that are avoided, while the store is slow
// but alive.
TEST_F(KindFeedTest, aSlowStoreIsNotTakenForASilentOne)
{
    constexpr Duration slowness = timing.replyMargin + 200ms;
    ScriptedServer server(m_context, m_timers, [&](const ServerRequest &request) {
        if (!isWatch(request))
            return ScriptedReply{httpResponse(200, "", onePage), slowness};
        return ScriptedReply{httpResponse(200, "", R"({"events":[],"asOf":6})"),
                             timing.watchWait + slowness};
    });
    follow(server);
    EXPECT_TRUE(test::runUntil(
        m_context, [&] { return server.requests().size() == 4; }, 10s));
    EXPECT_EQ(m_recorder.calls(), std::vector<std::string>{"listing:1"});
}

// Guards against a coordinator that grants after a suspension, in which another has taken its
// place: the reply that waits in the socket is no proof of what the store holds now.
TEST_F(KindFeedTest, aReplyReadAfterASuspensionIsNoRecentProof)
{
    TimePoint watchedAt;
    ScriptedServer server(m_context, m_timers, [&](const ServerRequest &request) {
        if (!isWatch(request))
            return json(onePage);
        if (watchedAt != TimePoint())
            return ScriptedReply{};
        watchedAt = Clock::now();
        // Stops the event loop, which the feed and the server share.
        std::this_thread::sleep_for(timing.watchWait + timing.replyMargin - 100ms);
        return json(R"({"events":[],"asOf":5})");
    });
    follow(server);
    ASSERT_TRUE(test::runUntil(m_context, [&] { return server.requests().size() == 3; }));
    EXPECT_EQ(m_recorder.calls(), std::vector<std::string>{"listing:1"});
    EXPECT_LE(m_feed->provenAt(), watchedAt + timing.watchWait);
}

ScriptedReply jsonOfEra(int era, const std::string &body)
{
    return {httpResponse(200, "Store-Era: " + std::to_string(era) + "\r\n", body)};
}

// Guards against changes of revisions that the store has assigned again, and against the loss of
// entries that are about to be written again: the recovery has to precede the new listing.
TEST_F(KindFeedTest, changesOfANewEraAreDroppedAndTheKindIsListedAnew)
{
    int listings = 0;
    int watches = 0;
    ScriptedServer server(m_context, m_timers, [&](const ServerRequest &request) {
        if (!isWatch(request)) {
            ++listings;
            return jsonOfEra(
                listings, listings == 1 ? R"({"items":[],"asOf":8})" : R"({"items":[],"asOf":7})");
        }
        if (++watches > 1)
            return ScriptedReply{};
        return jsonOfEra(2, R"({"events":[{"object":{"meta":{"name":"x"}}}],"asOf":12})");
    });
    follow(server);
    ASSERT_TRUE(test::runUntil(m_context, [&] { return server.requests().size() == 4; }));
    EXPECT_EQ(m_recorder.calls(),
              (std::vector<std::string>{"listing:0", "new era", "return", "listing:0"}));
    EXPECT_TRUE(server.requests().back().target().starts_with("/-/objects/servers?watch=7&"));
}

// Guards against a holder of a lease that counts as proven by a reply of an era that is over, and
// against state that goes back to it.
TEST_F(KindFeedTest, repliesOfAnEarlierEraAreDropped)
{
    int watches = 0;
    ScriptedServer server(m_context, m_timers, [&](const ServerRequest &request) {
        if (!isWatch(request))
            return jsonOfEra(2, onePage);
        if (++watches > 1)
            return ScriptedReply{};
        return jsonOfEra(1, R"({"events":[{"object":{"meta":{"name":"x"}}}],"asOf":12})");
    });
    follow(server);
    ASSERT_TRUE(test::runUntil(m_context, [&] { return server.requests().size() == 2; }));
    const TimePoint provenAt = m_feed->provenAt();
    ASSERT_TRUE(test::runUntil(m_context, [&] { return m_feed->isLost(); }));
    EXPECT_EQ(m_feed->provenAt(), provenAt);
    ASSERT_TRUE(test::runUntil(m_context, [&] { return server.requests().size() == 4; }));
    EXPECT_EQ(m_recorder.calls(), (std::vector<std::string>{"listing:1", "return", "listing:1"}));
}

// A listing that mixes pages of two eras would hide what was lost between them.
TEST_F(KindFeedTest, aListingAcrossTwoErasStartsAgain)
{
    int listings = 0;
    ScriptedServer server(m_context, m_timers, [&](const ServerRequest &request) {
        if (isWatch(request))
            return ScriptedReply{};
        if (++listings == 1)
            return jsonOfEra(1, R"({"items":[{"meta":{"name":"a"}}],"more":true,"asOf":5})");
        return jsonOfEra(2, R"({"items":[{"meta":{"name":"b"}}],"asOf":3})");
    });
    follow(server);
    ASSERT_TRUE(test::runUntil(m_context, [&] { return server.requests().size() == 4; }));
    EXPECT_EQ(m_recorder.calls(), std::vector<std::string>{"listing:1"});
    EXPECT_TRUE(server.requests().back().target().starts_with("/-/objects/servers?watch=3&"));
}

struct UpdateCase
{
    std::string name;
    int listedEra;
    int replyEra; ///< of the update
    std::size_t calls; ///< of the store, with the listing
    std::string reason; ///< of the failure; empty: none
};

class EraUpdateTest : public KindFeedTest, public testing::WithParamInterface<UpdateCase>
{ };

// Without this, an update that was prepared before the store returned from an older copy could
// replace another object that has been assigned the same revision.
TEST_P(EraUpdateTest, updatesWithARevisionOfAnEarlierEraDoNotCount)
{
    ScriptedServer server(m_context, m_timers, [&](const ServerRequest &request) {
        if (request.method() == boost::beast::http::verb::get)
            return jsonOfEra(GetParam().listedEra, onePage);
        EXPECT_NE(request.body().find(R"("revision":3)"), std::string::npos);
        return jsonOfEra(GetParam().replyEra, R"({"meta":{"name":"a","revision":6}})");
    });
    LoopTransport transport(m_context, m_timers, server.endpoint());
    StoreClient store(transport);
    std::optional<Outcome<StoreObject>> result;
    store.list("servers", [&](const Outcome<StoreListing> &outcome) {
        ASSERT_TRUE(isOk(outcome));
        const std::uint64_t revision = combineStoreRevision(1, 3);
        store.replace("servers", "a", revision, boost::json::object{},
                      [&](Outcome<StoreObject> updated) { result = std::move(updated); });
    });
    ASSERT_TRUE(test::runUntil(m_context, [&] { return result.has_value(); }));
    EXPECT_EQ(server.requests().size(), GetParam().calls);
    if (GetParam().reason.empty()) {
        ASSERT_TRUE(isOk(*result));
        EXPECT_EQ(valueOf(*result).revision, combineStoreRevision(1, 6));
    } else {
        ASSERT_FALSE(isOk(*result));
        EXPECT_EQ(errorOf(*result).reason, GetParam().reason);
    }
}

INSTANTIATE_TEST_SUITE_P(Eras, EraUpdateTest,
                         testing::Values(UpdateCase{"sameEra", 1, 1, 2, ""},
                                         UpdateCase{"knownNewEra", 2, 2, 1, "earlier_era"},
                                         UpdateCase{"newEraInReply", 1, 2, 2, "store_era_changed"}),
                         [](const auto &info) { return info.param.name; });

struct FailureCase
{
    std::string name;
    ScriptedReply reply;
};

class KindFeedFailureTest : public KindFeedTest, public testing::WithParamInterface<FailureCase>
{ };

TEST_P(KindFeedFailureTest, reportsChangesAfterFailedWatch)
{
    int watches = 0;
    ScriptedServer server(m_context, m_timers, [&](const ServerRequest &request) {
        if (!isWatch(request))
            return json(onePage);
        const std::string removal
            = R"({"events":[{"removed":true,"object":{"meta":{"name":"a"}}}],"asOf":9})";
        switch (++watches) {
        case 1:
            return GetParam().reply;
        case 2:
            return json(removal);
        default:
            return ScriptedReply{};
        }
    });
    follow(server);
    EXPECT_TRUE(test::runUntil(m_context, [&] { return m_recorder.hasCall("removed:a"); }));
}

INSTANTIATE_TEST_SUITE_P(Replies, KindFeedFailureTest,
                         testing::Values(FailureCase{"unavailable", json("", 503)},
                                         FailureCase{"rateLimited", json("", 429)},
                                         FailureCase{"historyGone", json("", 410)},
                                         FailureCase{"noJson", json("<html>")},
                                         FailureCase{"noEvents", json("{}")},
                                         FailureCase{"reset", ScriptedReply{"", 0ms, true}},
                                         FailureCase{"truncated",
                                                     ScriptedReply{"HTTP/1.1 200 OK\r\nContent-"
                                                                   "Length: 90\r\n\r\n{\"ev",
                                                                   0ms, true}}),
                         [](const auto &info) { return info.param.name; });

} // namespace
} // namespace gwt::platform
