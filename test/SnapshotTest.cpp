#include "FakeRelay.h"

#include <gtest/gtest.h>

namespace gwt {
namespace {

using namespace std::chrono_literals;
namespace json = boost::json;

using Reply = wire::SliceSearchReply;
using Request = wire::SliceSearchRequest;

Task<Reply> completeAnswer(Request request, int /*number*/)
{
    co_return FakeRelay::completeReply(request);
}

/// \brief Serves only \a version; other versions are gone.
FakeRelay::Handler serveOnly(std::uint64_t version)
{
    return [version](const Request &request, int number) -> Task<Reply> {
        if (request.version() == version)
            return completeAnswer(request, number);
        return [](Request gone) -> Task<Reply> {
            co_return FakeRelay::missingReply(gone, "version_gone");
        }(request);
    };
}

std::set<std::uint64_t> versionsOfHits(const json::object &answer)
{
    std::set<std::uint64_t> versions;
    for (const json::value &hit : answer.at("hits").as_array())
        versions.insert(hit.at("version").to_number<std::uint64_t>());
    return versions;
}

std::int64_t answeredShards(const json::object &answer)
{
    return answer.at("coverage").at("answered").to_number<std::int64_t>();
}

TEST(SnapshotTest, theNewestVersionIsTriedIfNothingIsKnownAboutIt)
{
    EntrySearchHarness entry;
    entry.publish(2, {"p1", "q1"});
    entry.relay().setHandler(completeAnswer);
    const json::object answer = entry.search("urgent");
    EXPECT_EQ(answer.at("snapshot").to_number<int>(), 2);
    EXPECT_EQ(answeredShards(answer), 2);
}

TEST(SnapshotTest, aVersionThatIsNotYetServedIsNotSelected)
{
    EntrySearchHarness entry;
    entry.relay().setHandler(serveOnly(1));
    EXPECT_EQ(entry.search("urgent").at("snapshot").to_number<int>(), 1);
    entry.publish(2, {"p1", "p2", "q1"});
    const int before = entry.relay().requests();
    EXPECT_EQ(entry.search("urgent").at("snapshot").to_number<int>(), 1);
    EXPECT_EQ(entry.relay().requests(), before + 2) << "one request for each slice";
}

TEST(SnapshotTest, aVersionWithUnconfiguredShardsIsNotSelected)
{
    EntrySearchHarness entry;
    entry.relay().setHandler(completeAnswer);
    entry.publish(2, {"p1", "unheard-of"});
    EXPECT_EQ(entry.search("urgent").at("snapshot").to_number<int>(), 1);
}

TEST(SnapshotTest, aSearchOnAGoneVersionIsRepeatedForAllShards)
{
    EntrySearchHarness entry;
    entry.publish(2, {"p1", "p2", "q1"});
    // Slice s2 still serves version 2, slice s1 was rolled back to version 1.
    entry.relay().setHandler([](Request request, int) -> Task<Reply> {
        const bool isGone = request.version() == 2 && request.services(0) == "p1";
        co_return isGone ? FakeRelay::missingReply(request, "version_gone")
                         : FakeRelay::completeReply(request);
    });
    const json::object answer = entry.search("urgent");
    EXPECT_EQ(answer.at("snapshot").to_number<int>(), 1);
    EXPECT_EQ(versionsOfHits(answer), std::set<std::uint64_t>{1});
    EXPECT_EQ(answeredShards(answer), 3);
    EXPECT_NE(entry.metrics().find("gwt_entry_replans_total{rank=\"urgent\"} 1"),
              std::string::npos);
}

TEST(SnapshotTest, aQueryIsReplannedAtMostOnce)
{
    EntrySearchHarness entry;
    entry.publish(2, {"p1", "p2", "q1"});
    entry.publish(3, {"p1", "p2", "q1"});
    entry.relay().setHandler(serveOnly(99));
    const json::object answer = entry.search("urgent");
    EXPECT_EQ(answeredShards(answer), 0);
    EXPECT_EQ(entry.relay().requests(), 4) << "two plans of two slices";
}

TEST(SnapshotTest, withoutTimeToReplanTheFirstResultIsReturned)
{
    EntrySearchHarness entry;
    entry.publish(2, {"p1", "p2", "q1"});
    entry.relay().setHandler([](Request request, int) -> Task<Reply> {
        if (request.services(0) == "q1")
            co_return FakeRelay::completeReply(request);
        co_await sleepFor(800ms);
        co_return FakeRelay::missingReply(request, "version_gone");
    });
    const json::object answer = entry.search("urgent");
    EXPECT_EQ(answer.at("snapshot").to_number<int>(), 2);
    EXPECT_EQ(answeredShards(answer), 1);
    EXPECT_EQ(entry.relay().requests(), 2);
}

TEST(SnapshotTest, aReplyOfAnotherVersionIsRejectedAndCounted)
{
    EntrySearchHarness entry;
    entry.relay().setHandler([](Request request, int) -> Task<Reply> {
        if (request.services(0) == "q1")
            request.set_version(7);
        co_return FakeRelay::completeReply(request);
    });
    const json::object answer = entry.search("urgent");
    EXPECT_EQ(versionsOfHits(answer), std::set<std::uint64_t>{1});
    EXPECT_EQ(answeredShards(answer), 2);
    EXPECT_NE(entry.metrics().find("reason=\"wrong_version\""), std::string::npos);
}

TEST(SnapshotTest, aReplyWithAHitOfAnotherVersionIsRejected)
{
    EntrySearchHarness entry;
    entry.relay().setHandler([](Request request, int) -> Task<Reply> {
        Reply reply = FakeRelay::completeReply(request);
        reply.mutable_hits(0)->set_version(request.services(0) == "q1" ? 1 : 2);
        co_return reply;
    });
    const json::object answer = entry.search("urgent");
    EXPECT_EQ(versionsOfHits(answer), std::set<std::uint64_t>{1});
    EXPECT_EQ(answeredShards(answer), 1);
}

TEST(SnapshotTest, aResponseNeverMixesVersionsDuringRepartitioning)
{
    EntrySearchHarness entry;
    std::atomic<std::uint64_t> served = 1;
    entry.relay().setHandler([&served](Request request, int) -> Task<Reply> {
        co_await sleepFor(2ms);
        co_return served == request.version() ? FakeRelay::completeReply(request)
                                              : FakeRelay::missingReply(request, "version_gone");
    });
    std::vector<std::future<json::object>> answers;
    answers.reserve(4);
    for (int i = 0; i < 4; ++i) {
        answers.push_back(std::async(std::launch::async, [&entry] {
            json::object last;
            for (int query = 0; query < 60; ++query) {
                last = entry.search("urgent");
                const auto snapshot = last.at("snapshot").to_number<std::uint64_t>();
                for (const std::uint64_t version : versionsOfHits(last))
                    EXPECT_EQ(version, snapshot);
                EXPECT_EQ(last.at("coverage").at("shards").to_number<int>(), snapshot == 1 ? 3 : 5);
            }
            return last;
        }));
    }
    std::this_thread::sleep_for(100ms);
    entry.publish(2, {"p1", "p2", "q1", "r1", "r2"});
    served = 2;
    for (auto &answer : answers) {
        const json::object last = answer.get();
        EXPECT_EQ(last.at("snapshot").to_number<int>(), 2);
        EXPECT_EQ(answeredShards(last), 5);
    }
}

} // namespace
} // namespace gwt
