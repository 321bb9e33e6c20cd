#include "relay/ServiceDispatcher.h"
#include "TaskRunner.h"
#include "common/Random.h"
#include "common/Sleep.h"

#include <gtest/gtest.h>

#include <atomic>

namespace gwt {
namespace {

using namespace std::chrono_literals;

constexpr int slots = 2;
constexpr int replicas = 3;

struct Counts
{
    std::atomic<int> granted = 0;
    std::atomic<int> refused = 0;
    std::atomic<int> holding = 0;
    std::atomic<int> peak = 0;
};

/// \brief Waits for a slot, holds it for \a hold and releases it.
Task<void> runAttempt(std::shared_ptr<ServiceDispatcher> dispatcher, Counts &counts,
                      CancelToken cancel, Duration timeout, Duration hold)
{
    QueuedAttempt attempt;
    attempt.rank = "urgent";
    attempt.deadline = Clock::now() + timeout;
    Outcome<SlotLease> lease = co_await dispatcher->acquire(std::move(attempt), cancel);
    if (!isOk(lease)) {
        EXPECT_TRUE(provesNotRun(errorOf(lease).code));
        ++counts.refused;
        co_return;
    }
    const int holding = ++counts.holding;
    counts.peak = std::max(counts.peak.load(), holding);
    co_await sleepFor(hold);
    --counts.holding;
    valueOf(lease).release(AttemptOutcome::Answered, hold);
    ++counts.granted;
}

Task<void> cancelAfter(CancelToken cancel, Duration delay)
{
    co_await sleepFor(delay);
    cancel.cancel();
}

class ServiceDispatcherTest : public testing::TestWithParam<int>
{
protected:
    ServiceDispatcherTest()
        : m_pool(4)
        , m_dispatcher(std::make_shared<ServiceDispatcher>("shard", RelayOptions{}, m_metrics, 1))
    {
        std::vector<Replica> configured;
        for (int i = 0; i < replicas; ++i) {
            Replica replica;
            replica.name = "r" + std::to_string(i);
            replica.slots = slots;
            configured.push_back(std::move(replica));
        }
        m_dispatcher->configure(configured);
    }

    ~ServiceDispatcherTest() override { m_pool.stop(); }

    WorkerPool m_pool;
    Metrics m_metrics;
    std::shared_ptr<ServiceDispatcher> m_dispatcher;
    Counts m_counts;
};

TEST_P(ServiceDispatcherTest, noSlotLeaksWhenCancelsDeadlinesAndGrantsRace)
{
    constexpr int attempts = 3000;
    RandomEngine random(static_cast<std::uint64_t>(GetParam()));
    for (int i = 0; i < attempts; ++i) {
        const CancelToken cancel;
        const Duration timeout = Microseconds(500 + random() % 200'000);
        const Duration hold = Microseconds(random() % 600);
        spawn(m_pool.strand(), runAttempt(m_dispatcher, m_counts, cancel, timeout, hold));
        if (random() % 2 == 0)
            spawn(m_pool.strand(), cancelAfter(cancel, Microseconds(random() % 100'000)));
    }
    for (int i = 0; i < 4000 && m_counts.granted + m_counts.refused < attempts; ++i)
        std::this_thread::sleep_for(5ms);
    EXPECT_EQ(m_counts.granted + m_counts.refused, attempts);
    EXPECT_GT(m_counts.granted, 0);
    EXPECT_LE(m_counts.peak, slots * replicas);
    EXPECT_EQ(m_dispatcher->load().slotsInUse, 0);
    EXPECT_EQ(m_dispatcher->load().queueLength, 0);
}

INSTANTIATE_TEST_SUITE_P(Seeds, ServiceDispatcherTest, testing::Range(1, 4));

} // namespace
} // namespace gwt
