#include "FakeRelay.h"

#include <gtest/gtest.h>

namespace gwt {
namespace {

using namespace std::chrono_literals;
namespace json = boost::json;

using Reply = wire::SliceSearchReply;
using Request = wire::SliceSearchRequest;
using ReplyChange = std::function<void(const Request &, Reply &)>;

/// \brief A change to the reply of slice s1 (p1, p2); the reply of slice s2 (q1) is always
/// complete.
struct ReplyCase
{
    std::string name;
    ReplyChange change;
    std::set<std::string> answered; ///< expected coverage
    std::map<std::string, std::string> missing;
    std::string expectedMetric; ///< label of the metric that must be reported
};

const std::vector<ReplyCase> replyCases = {
    {"complete", [](const Request &, Reply &) {}, {"p1", "p2", "q1"}, {}, ""},
    {"oneShardMissing",
     [](const Request &request, Reply &reply) {
         reply = FakeRelay::missingReply(request, "shed");
         reply.add_answered("p1");
     },
     {"p1", "q1"},
     {{"p2", "shed"}},
     "reason=\"shed\""},
    {"shardNotMentioned",
     [](const Request &, Reply &reply) {
         reply.mutable_answered()->RemoveLast();
         reply.mutable_hits()->RemoveLast();
     },
     {"p1", "q1"},
     {{"p2", "relay_lost"}},
     "reason=\"relay_lost\""},
    {"otherRequestId",
     [](const Request &, Reply &reply) { reply.set_request_id("another"); },
     {"q1"},
     {{"p1", "bad_reply"}, {"p2", "bad_reply"}},
     "reason=\"foreign_reply\""},
    {"otherLegId",
     [](const Request &request, Reply &reply) { reply.set_leg_id(request.leg_id() + 1); },
     {"q1"},
     {{"p1", "bad_reply"}, {"p2", "bad_reply"}},
     "reason=\"foreign_reply\""},
    {"serviceNotRequested",
     [](const Request &, Reply &reply) { reply.add_answered("q1"); },
     {"q1"},
     {{"p1", "bad_reply"}, {"p2", "bad_reply"}},
     "reason=\"foreign_service\""},
    {"answeredTwice",
     [](const Request &, Reply &reply) { reply.add_answered("p1"); },
     {"q1"},
     {{"p1", "bad_reply"}, {"p2", "bad_reply"}},
     "reason=\"foreign_service\""},
    {"hitOfAMissingShard",
     [](const Request &, Reply &reply) { reply.mutable_answered()->RemoveLast(); },
     {"q1"},
     {{"p1", "bad_reply"}, {"p2", "bad_reply"}},
     "reason=\"foreign_service\""},
    {"refused",
     [](const Request &, Reply &reply) {
         reply.clear_answered();
         reply.clear_hits();
         reply.set_refused("not_owner");
     },
     {"q1"},
     {{"p1", "not_owner"}, {"p2", "not_owner"}},
     "reason=\"not_owner\""},
};

std::map<std::string, std::string> missingOf(const json::object &answer)
{
    std::map<std::string, std::string> missing;
    for (const json::value &shard : answer.at("coverage").at("missing").as_array())
        missing[shard.at("service").as_string().c_str()] = shard.at("reason").as_string().c_str();
    return missing;
}

std::set<std::string> servicesOfHits(const json::object &answer)
{
    std::set<std::string> services;
    for (const json::value &hit : answer.at("hits").as_array())
        services.insert(hit.at("service").as_string().c_str());
    return services;
}

class CoverageTest : public testing::TestWithParam<ReplyCase>
{ };

TEST_P(CoverageTest, reportedCoverageMatchesTheMergedShards)
{
    EntrySearchHarness entry;
    entry.relay().setHandler([](Request request, int) -> Task<Reply> {
        Reply reply = FakeRelay::completeReply(request);
        if (request.services(0) == "p1")
            GetParam().change(request, reply);
        co_return reply;
    });
    const json::object answer = entry.search("urgent");
    EXPECT_EQ(missingOf(answer), GetParam().missing);
    const json::object &coverage = answer.at("coverage").as_object();
    EXPECT_EQ(coverage.at("shards").to_number<int>(), 3);
    EXPECT_EQ(coverage.at("answered").to_number<std::size_t>(), GetParam().answered.size());
    EXPECT_EQ(coverage.at("meets_minimum").as_bool(), GetParam().missing.empty());
    for (const std::string &service : servicesOfHits(answer))
        EXPECT_TRUE(GetParam().answered.count(service)) << service;
    EXPECT_NE(entry.metrics().find(GetParam().expectedMetric), std::string::npos)
        << entry.metrics();
}

INSTANTIATE_TEST_SUITE_P(Replies, CoverageTest, testing::ValuesIn(replyCases),
                         [](const auto &info) { return info.param.name; });

TEST(CoverageFaultTest, aLateSliceIsMissingAndItsReplyIsCountedAsLate)
{
    EntrySearchHarness entry;
    entry.relay().setHandler([](Request request, int) -> Task<Reply> {
        if (request.services(0) == "p1")
            co_await sleepFor(1500ms);
        co_return FakeRelay::completeReply(request);
    });
    const json::object answer = entry.search("urgent");
    EXPECT_EQ(missingOf(answer),
              (std::map<std::string, std::string>{{"p1", "late"}, {"p2", "late"}}));
    EXPECT_EQ(servicesOfHits(answer), std::set<std::string>{"q1"});
}

TEST(CoverageFaultTest, shardsOfARelayThatDiesDuringASearchAreMissing)
{
    EntrySearchHarness entry;
    entry.relay().setHandler([&entry](Request request, int) -> Task<Reply> {
        if (request.services(0) == "p1") {
            co_await sleepFor(50ms);
            entry.relay().closeSessions();
            co_await sleepFor(5s);
        }
        co_return FakeRelay::completeReply(request);
    });
    const json::object answer = entry.search("desk");
    EXPECT_EQ(missingOf(answer),
              (std::map<std::string, std::string>{{"p1", "relay_lost"}, {"p2", "relay_lost"}}));
    EXPECT_EQ(servicesOfHits(answer), std::set<std::string>{"q1"});
}

TEST(CoverageFaultTest, aDisconnectedCallerCancelsItsSliceRequests)
{
    EntrySearchHarness entry;
    entry.relay().setHandler([](Request request, int) -> Task<Reply> {
        co_await sleepFor(300ms);
        co_return FakeRelay::completeReply(request);
    });
    const CancelToken cancel;
    auto disconnected = std::async(std::launch::async,
                                   [&] { return entry.send("desk", "beans", cancel).status; });
    for (int i = 0; i < 5000 && entry.relay().requests() < 2; ++i)
        std::this_thread::sleep_for(1ms);
    cancel.cancel();
    disconnected.get();
    for (int i = 0; i < 5000 && entry.relay().cancelled() < 2; ++i)
        std::this_thread::sleep_for(1ms);
    EXPECT_EQ(entry.relay().cancelled(), 2);
}

TEST(CoverageFaultTest, concurrentRepliesReachTheirOwnCallers)
{
    EntrySearchHarness entry;
    entry.relay().setHandler([](Request request, int number) -> Task<Reply> {
        co_await sleepFor(Milliseconds(number % 7));
        co_return FakeRelay::completeReply(request);
    });
    std::vector<std::future<void>> callers;
    callers.reserve(4);
    for (int caller = 0; caller < 4; ++caller) {
        callers.push_back(std::async(std::launch::async, [&entry, caller] {
            for (int i = 0; i < 50; ++i) {
                const std::string query = "q" + std::to_string(caller) + "x" + std::to_string(i);
                const json::object answer = entry.search("desk", query);
                for (const json::value &hit : answer.at("hits").as_array())
                    EXPECT_TRUE(hit.at("id").as_string().ends_with("-" + query));
                EXPECT_EQ(answer.at("hits").as_array().size(), 3U);
            }
        }));
    }
    for (auto &caller : callers)
        caller.get();
}

TEST(CoverageFaultTest, anInvalidSearchIsCountedByReason)
{
    EntrySearchHarness entry;
    EXPECT_EQ(entry.send("no-such-rank").status, 404);
    const std::string expectedMetric
        = "gwt_entry_invalid_searches_total{reason=\"unknown_rank\"} 1";
    EXPECT_NE(entry.metrics().find(expectedMetric), std::string::npos) << entry.metrics();
}

TEST(CoverageFaultTest, aSearchWithoutASnapshotIsCountedAsRefused)
{
    EntrySearchHarness entry;
    EXPECT_EQ(entry.send("urgent", "beans", {}, "lids").status, 503);
    EXPECT_EQ(entry.relay().requests(), 0);
    const std::string expectedMetric
        = "gwt_entry_refusals_total{rank=\"urgent\",reason=\"no_snapshot\"} 1";
    EXPECT_NE(entry.metrics().find(expectedMetric), std::string::npos) << entry.metrics();
}

TEST(CoverageFaultTest, aRefusedSearchSendsNoSliceRequest)
{
    AdmissionOptions admission;
    admission.concurrency.initialLimit = 1;
    EntrySearchHarness entry(admission);
    std::atomic<bool> isReleased = false;
    entry.relay().setHandler([&isReleased](Request request, int) -> Task<Reply> {
        while (!isReleased)
            co_await sleepFor(1ms);
        co_return FakeRelay::completeReply(request);
    });
    auto first = std::async(std::launch::async, [&] { return entry.send("urgent").status; });
    for (int i = 0; i < 5000 && entry.relay().requests() < 2; ++i)
        std::this_thread::sleep_for(1ms);
    const HttpResponse refused = entry.send("urgent");
    EXPECT_EQ(refused.status, 429);
    EXPECT_NE(refused.body.find("\"run\":\"notRun\""), std::string::npos);
    EXPECT_NE(refused.body.find("slices_busy"), std::string::npos);
    EXPECT_TRUE(refused.headers.count("retry-after"));
    EXPECT_EQ(entry.relay().requests(), 2);
    EXPECT_NE(entry.metrics().find("rank=\"urgent\",reason=\"slices_busy\""), std::string::npos)
        << entry.metrics();
    isReleased = true;
    EXPECT_EQ(first.get(), 200);
}

} // namespace
} // namespace gwt
