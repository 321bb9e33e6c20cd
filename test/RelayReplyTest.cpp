#include "RelayFixture.h"

#include <thread>

namespace gwt {
namespace {

constexpr int callers = 4;
constexpr int searchesOfCaller = 100;
constexpr int queries = 20;

std::string queryOf(int number)
{
    return "query-" + std::to_string(number % queries);
}

struct ReplyCase
{
    const char *name;
    void (*apply)(BackendBehaviour &);
    const char *reason; ///< expected reason of the failed attempts; empty for none
    double minCompleteShare; ///< of the searches
};

class RelayReplyTest : public RelayFixture, public testing::WithParamInterface<ReplyCase>
{
protected:
    using Hits = std::vector<std::string>;

    static std::string toText(const wire::Hit &hit)
    {
        return hit.service() + " " + hit.id() + " " + std::to_string(hit.score());
    }

    /// \brief The correct hits of \a services for \a query.
    Hits expectedHits(const std::string &query, const std::set<std::string> &services)
    {
        std::vector<wire::Hit> hits;
        for (const std::string &service : services) {
            const auto &own = m_expected[query + "/" + service];
            hits.insert(hits.end(), own.begin(), own.end());
        }
        retainTopHits(hits, 10);
        Hits text;
        for (const wire::Hit &hit : hits)
            text.push_back(toText(hit));
        return text;
    }

    /// \brief Records the hits of each service alone, before faults are injected.
    void recordExpectedHits()
    {
        for (int i = 0; i < queries; ++i) {
            for (const std::string service : {"shard0", "shard1"}) {
                wire::SliceSearchRequest request = makeRequest("plain", queryOf(i));
                request.clear_services();
                request.add_services(service);
                const wire::SliceSearchReply reply
                    = runTask(m_pool, m_search.run(request, Clock::now() + 5s, {}));
                ASSERT_EQ(reply.answered_size(), 1);
                m_expected[queryOf(i) + "/" + service]
                    = std::vector<wire::Hit>(reply.hits().begin(), reply.hits().end());
            }
        }
    }

    /// \brief Searches and checks that no hit of another request is merged; counts complete
    /// replies.
    void searchRepeatedly(int caller)
    {
        for (int i = 0; i < searchesOfCaller; ++i) {
            const std::string query = queryOf(caller * searchesOfCaller + i * callers + caller);
            const wire::SliceSearchReply reply = search(query);
            Hits hits;
            for (const wire::Hit &hit : reply.hits())
                hits.push_back(toText(hit));
            const std::set<std::string> answered(reply.answered().begin(), reply.answered().end());
            EXPECT_EQ(hits, expectedHits(query, answered)) << query;
            m_complete += answered.size() == 2 ? 1 : 0;
        }
    }

    double failedAttempts(const std::string &reason) const
    {
        return metric("gwt_relay_failed_legs_total{rank=\"urgent\",reason=\"" + reason + "\"}");
    }

    std::map<std::string, std::vector<wire::Hit>> m_expected; ///< by query and service
    std::atomic<int> m_complete = 0;
};

TEST_P(RelayReplyTest, onlyCompleteRepliesToOwnRequestsAreMerged)
{
    recordExpectedHits();
    for (const auto &backend : m_fleet.backends())
        updateBehaviour(backend->server().name, GetParam().apply);
    std::vector<std::thread> threads;
    threads.reserve(callers);
    for (int caller = 0; caller < callers; ++caller)
        threads.emplace_back([this, caller] { searchRepeatedly(caller); });
    for (std::thread &thread : threads)
        thread.join();
    const std::string reason = GetParam().reason;
    for (const std::string known : {"foreign_reply", "bad_reply", "connection_lost"}) {
        if (known == reason) {
            EXPECT_GT(failedAttempts(known), 0) << known;
        } else if (!reason.empty()) {
            EXPECT_EQ(failedAttempts(known), 0) << known;
        }
    }
    EXPECT_GE(m_complete, GetParam().minCompleteShare * callers * searchesOfCaller);
    EXPECT_TRUE(waitUntilIdle());
}

INSTANTIATE_TEST_SUITE_P(
    Faults, RelayReplyTest,
    testing::Values(
        ReplyCase{"none", [](BackendBehaviour &) {}, "", 1},
        ReplyCase{"crossed", [](BackendBehaviour &b) { b.crossShare = 0.3; }, "foreign_reply", 0},
        ReplyCase{"foreign", [](BackendBehaviour &b) { b.foreignShare = 0.3; }, "foreign_reply", 0},
        ReplyCase{"duplicated", [](BackendBehaviour &b) { b.duplicateShare = 0.5; }, "", 0.9},
        ReplyCase{"truncated", [](BackendBehaviour &b) { b.truncateShare = 0.3; },
                  "connection_lost", 0},
        ReplyCase{"cut", [](BackendBehaviour &b) { b.failShare = 0.3; }, "connection_lost", 0},
        ReplyCase{"malformed", [](BackendBehaviour &b) { b.malformedShare = 0.3; }, "bad_reply",
                  0}),
    [](const auto &info) { return std::string(info.param.name); });

class RelayReuseTest : public RelayReplyTest
{ };

/// \brief Checks that each failed attempt had its own connection.
TEST_P(RelayReuseTest, connectionIsNotReusedAfterAnUnusableReply)
{
    for (const auto &backend : m_fleet.backends())
        updateBehaviour(backend->server().name, GetParam().apply);
    constexpr int searches = 30;
    for (int i = 0; i < searches; ++i)
        EXPECT_EQ(search().answered_size(), 0);
    EXPECT_GT(failedAttempts(GetParam().reason), searches);
    EXPECT_GE(metric("gwt_relay_connections_opened_total"), failedAttempts(GetParam().reason));
}

INSTANTIATE_TEST_SUITE_P(
    Faults, RelayReuseTest,
    testing::Values(
        ReplyCase{"foreign", [](BackendBehaviour &b) { b.foreignShare = 1; }, "foreign_reply", 0},
        ReplyCase{"cut", [](BackendBehaviour &b) { b.failShare = 1; }, "connection_lost", 0},
        ReplyCase{"truncated", [](BackendBehaviour &b) { b.truncateShare = 1; }, "connection_lost",
                  0},
        ReplyCase{"malformed", [](BackendBehaviour &b) { b.malformedShare = 1; }, "bad_reply", 0}),
    [](const auto &info) { return std::string(info.param.name); });

} // namespace
} // namespace gwt
