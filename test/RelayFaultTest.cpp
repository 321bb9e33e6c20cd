#include "RelayFixture.h"

#include <cstring>
#include <limits>

namespace gwt {
namespace {

using RelayFaultTest = RelayFixture;

struct FaultCase
{
    const char *name;
    void (*apply)(BackendBehaviour &);
    const char *metric; ///< that must be counted; may be empty
    bool mustRecover; ///< only one replica has the fault, and the searches become complete again
};

constexpr int maxIncomplete = 8; ///< incomplete searches until a failing replica gets no work

constexpr int maxSearchesUntilCounted = 1000;

class RelayReplicaFaultTest : public RelayFaultTest, public testing::WithParamInterface<FaultCase>
{
protected:
    /// \brief True if the metric \a line has a value other than 0.
    bool isCounted(const char *line) const
    {
        const std::string metrics = m_metrics.text();
        const auto at = metrics.find(line);
        return at != std::string::npos && metrics[at + std::strlen(line)] != '0';
    }
};

TEST_P(RelayReplicaFaultTest, coverageMatchesMergedRepliesAndTheOtherReplicaTakesOver)
{
    updateBehaviour("shard0a", GetParam().apply);
    if (!GetParam().mustRecover)
        updateBehaviour("shard0b", GetParam().apply);
    int consecutiveComplete = 0;
    int incomplete = 0;
    for (int i = 0; i < 60; ++i) {
        const bool isComplete = search().answered_size() == 2;
        consecutiveComplete = isComplete ? consecutiveComplete + 1 : 0;
        incomplete += isComplete ? 0 : 1;
    }
    if (GetParam().mustRecover) {
        EXPECT_GE(consecutiveComplete, 10);
        EXPECT_LE(incomplete, maxIncomplete);
    }
    // The picker avoids a failing replica, so the attempts that fail on it accumulate slowly.
    for (int i = 0; i < maxSearchesUntilCounted && !isCounted(GetParam().metric); ++i)
        search();
    EXPECT_TRUE(isCounted(GetParam().metric)) << GetParam().metric << " in " << m_metrics.text();
    EXPECT_TRUE(waitUntilIdle());
}

constexpr const char *ejections = "gwt_relay_ejections_total{service=\"shard0\"} ";

INSTANTIATE_TEST_SUITE_P(
    Faults, RelayReplicaFaultTest,
    testing::Values(
        FaultCase{"dead", [](BackendBehaviour &b) { b.isDead = true; }, ejections, true},
        FaultCase{"frozen", [](BackendBehaviour &b) { b.isFrozen = true; }, "", true},
        FaultCase{"late", [](BackendBehaviour &b) { b.slowFactor = 200; }, "gwt_relay_hedges_total",
                  true},
        FaultCase{"shedding", [](BackendBehaviour &b) { b.shedShare = 0.3; },
                  "gwt_relay_retries_total", false},
        FaultCase{"foreign", [](BackendBehaviour &b) { b.foreignShare = 0.3; },
                  "gwt_relay_rejected_replies_total{rank=\"urgent\",reason=\"foreign_reply\"}",
                  false},
        FaultCase{"malformed", [](BackendBehaviour &b) { b.malformedShare = 0.3; },
                  "gwt_relay_rejected_replies_total{rank=\"urgent\",reason=\"bad_reply\"}", false},
        FaultCase{"truncated", [](BackendBehaviour &b) { b.truncateShare = 0.3; },
                  "gwt_relay_missing_shards_total", false},
        FaultCase{"duplicated", [](BackendBehaviour &b) { b.duplicateShare = 0.5; }, "", false}),
    [](const auto &info) { return std::string(info.param.name); });

struct DrainCase
{
    const char *name;
    void (*drain)(BackendBehaviour &); ///< nullptr: drained by host list or configuration
    bool isByHostList;
};

class RelayDrainTest : public RelayFaultTest, public testing::WithParamInterface<DrainCase>
{
protected:
    void drain()
    {
        if (GetParam().drain) {
            updateBehaviour("shard0a", GetParam().drain);
        } else if (GetParam().isByHostList) {
            m_services.setLeaving({m_set.backendServers["shard0a"].address.address});
        } else {
            m_set.backendServers["shard0a"].isDraining = true;
            m_config.updateIfNewer(std::make_shared<Config>(2, m_set));
        }
    }
};

TEST_P(RelayDrainTest, anySingleDrainSourceStopsNewWorkWithoutLoss)
{
    for (int i = 0; i < 20; ++i)
        search();
    ASSERT_GT(receivedRequests("shard0a"), 0U);
    drain();
    const auto isDrainObserved
        = [this] { return valueOf(m_services.find("shard0"))->load().liveReplicas == 1; };
    for (int i = 0; i < 500 && !isDrainObserved(); ++i)
        EXPECT_EQ(search().answered_size(), 2);
    ASSERT_TRUE(isDrainObserved());
    ASSERT_TRUE(waitUntilIdle());
    const std::uint64_t before = receivedRequests("shard0a");
    for (int i = 0; i < 40; ++i)
        EXPECT_EQ(search().answered_size(), 2);
    EXPECT_EQ(receivedRequests("shard0a"), before);
}

INSTANTIATE_TEST_SUITE_P(Sources, RelayDrainTest,
                         testing::Values(DrainCase{"reply",
                                                   [](BackendBehaviour &b) {
                                                       b.isDraining = true;
                                                       b.refusesWhenDraining = false;
                                                   },
                                                   false},
                                         DrainCase{"hostList", nullptr, true},
                                         DrainCase{"configuration", nullptr, false}),
                         [](const auto &info) { return std::string(info.param.name); });

TEST_F(RelayFaultTest, aRelayThatOwnsNoSlotRefusesAndRunsNothing)
{
    m_members.set({makeRelay("other", Endpoint("127.0.0.1", 7001))});
    EXPECT_EQ(search().refused(), "not_owner");
    wire::ReserveRequest request;
    request.set_service("shard0");
    const wire::ReserveReply reply
        = runTask(m_pool, m_bookings.reserve(request, Clock::now() + 1s, {}));
    EXPECT_FALSE(reply.granted());
    EXPECT_EQ(reply.reason(), "not_owner");
    for (const auto &backend : m_fleet.backends())
        EXPECT_EQ(backend->counts().started, 0U);
    EXPECT_TRUE(m_fleet.ledger().entries().empty());
}

TEST_F(RelayFaultTest, theLongestHoldDoesNotExpireImmediately)
{
    wire::ReserveRequest request;
    request.set_service("shard0");
    request.set_rank("urgent");
    request.set_hold_us(std::numeric_limits<std::uint64_t>::max());
    ASSERT_TRUE(runTask(m_pool, m_bookings.reserve(request, Clock::now() + 1s, {})).granted());
    m_bookings.expire();
    EXPECT_EQ(m_bookings.reservationCount(), 1U);
}

TEST_F(RelayFaultTest, extraAttemptsStayWithinTheBudgetWhenAttemptsFailFast)
{
    std::uint32_t extraAttempts = 0;
    for (const auto &backend : m_fleet.backends())
        updateBehaviour(backend->server().name, [](BackendBehaviour &b) { b.shedShare = 0.3; });
    constexpr int searches = 200;
    for (int i = 0; i < searches; ++i)
        extraAttempts += search().extra_legs();
    EXPECT_GT(extraAttempts, 0U);
    EXPECT_LE(extraAttempts, searches * 2 * 0.05 + ExtraLoadBudget::s_initialTokens);
}

TEST_F(RelayFaultTest, aBookingReportedAsNotRunHasZeroExecutions)
{
    updateBehaviour("shard0a", [](BackendBehaviour &b) { b.failShare = 0.3; });
    updateBehaviour("shard0b", [](BackendBehaviour &b) { b.losesBookingReplies = true; });
    for (int i = 0; i < 40; ++i) {
        wire::ReserveRequest reserve;
        reserve.set_service("shard0");
        reserve.set_hold_us(1'000'000);
        const wire::ReserveReply reserved
            = runTask(m_pool, m_bookings.reserve(reserve, Clock::now() + 1s, {}));
        ASSERT_TRUE(reserved.granted()) << reserved.reason();
        wire::ExecuteRequest execute;
        execute.set_reservation(reserved.reservation());
        execute.set_incarnation(reserved.incarnation());
        execute.set_service("shard0");
        execute.set_key("key-" + std::to_string(i));
        execute.set_attempt("attempt");
        const wire::ExecuteReply reply
            = runTask(m_pool, m_bookings.execute(execute, Clock::now() + 2s));
        const auto entries = m_fleet.ledger().entries();
        const auto entry = entries.find(execute.key());
        const int executions = entry == entries.end() ? 0 : entry->second.executions;
        EXPECT_LE(executions, 1);
        if (reply.state() == wire::NOT_RUN) {
            EXPECT_EQ(executions, 0);
        }
        if (reply.state() == wire::DONE) {
            EXPECT_EQ(executions, 1);
        }
    }
    EXPECT_TRUE(waitUntilIdle());
}

} // namespace
} // namespace gwt
