#include "ForwardingStore.h"
#include "TaskRunner.h"
#include "control/Control.h"
#include "platform/Platform.h"
#include "platform/StoreAccess.h"
#include "standins/platform/FakePlatform.h"

#include <gtest/gtest.h>

namespace gwt {
namespace {

using namespace std::chrono_literals;

/// \brief Fails all calls after a number of writes, as if the publisher had been killed then.
class CrashingStore : public ForwardingStore
{
public:
    CrashingStore(ObjectStore &store, int writesBeforeCrash)
        : ForwardingStore(store)
        , m_writesLeft(writesBeforeCrash)
    { }

    bool hasCrashed() const { return m_hasCrashed; }

    Task<Outcome<StoredObject>> get(std::string key, TimePoint deadline) override
    {
        if (m_hasCrashed)
            co_return Error(ErrorCode::Unavailable, "killed");
        co_return co_await ForwardingStore::get(std::move(key), deadline);
    }

    Task<Outcome<ObjectVersion>> put(std::string key, std::string value, ObjectVersion expected,
                                     TimePoint deadline) override
    {
        if (m_hasCrashed || m_writesLeft == 0) {
            m_hasCrashed = true;
            co_return Error(ErrorCode::Unavailable, "killed");
        }
        --m_writesLeft;
        co_return co_await ForwardingStore::put(std::move(key), std::move(value), expected,
                                                deadline);
    }

private:
    int m_writesLeft;
    bool m_hasCrashed = false;
};

/// \brief Captures writes of the head instead of forwarding them and loses their replies.
class DelayedHeadStore : public CrashingStore
{
public:
    struct Write
    {
        std::string value;
        ObjectVersion expected = 0;
    };

    explicit DelayedHeadStore(ObjectStore &store)
        : CrashingStore(store, 1000)
    { }

    Task<Outcome<ObjectVersion>> put(std::string key, std::string value, ObjectVersion expected,
                                     TimePoint deadline) override
    {
        if (key != configHeadKey) {
            co_return co_await CrashingStore::put(std::move(key), std::move(value), expected,
                                                  deadline);
        }
        m_capturedWrites.push_back({std::move(value), expected});
        co_return Error(ErrorCode::Unknown, "reply_lost");
    }

    const std::vector<Write> &capturedWrites() const { return m_capturedWrites; }

private:
    std::vector<Write> m_capturedWrites;
};

class PublisherRaceTest : public testing::Test
{
protected:
    PublisherRaceTest()
        : m_pool(4)
        , m_platform(m_pool.executor())
        , m_client(m_pool.executor())
        , m_access(m_pool.executor(), m_client, valueOf(m_platform.listen({"127.0.0.1", 0})))
        , m_store(m_access.store())
        , m_publisher(m_store)
        , m_reader(m_store)
    { }

    ~PublisherRaceTest() override { m_pool.stop(); }

    static ConfigSet makeSet(const std::map<std::string, int> &targets)
    {
        ConfigSet set;
        for (const auto &[name, target] : targets)
            set.ranks[name] = Rank{name, Milliseconds(target)};
        return set;
    }

    Outcome<std::uint64_t> publish(const ConfigSet &set, std::uint64_t base = 0,
                                   Milliseconds timeout = 5000ms)
    {
        const PublishInfo info{"test", "", base};
        return runTask(m_pool, m_publisher.publish(set, info, Clock::now() + timeout));
    }

    ConfigSet read()
    {
        return valueOf(runTask(m_pool, m_reader.current(Clock::now() + 5s)))->set();
    }

    WorkerPool m_pool;
    FakePlatform m_platform;
    HttpClient m_client;
    platform::StoreAccess m_access;
    ObjectStore &m_store;
    Publisher m_publisher;
    ConfigReader m_reader;
};

TEST_F(PublisherRaceTest, disjointChangesOfOneBaseAreMerged)
{
    publish(makeSet({{"urgent", 100}, {"desk", 200}}));
    EXPECT_EQ(valueOf(publish(makeSet({{"urgent", 150}, {"desk", 200}}), 1)), 2U);
    const auto second = publish(makeSet({{"urgent", 100}, {"desk", 250}, {"late", 9}}), 1);
    ASSERT_TRUE(isOk(second)) << errorOf(second).detail;
    EXPECT_EQ(valueOf(second), 3U);
    EXPECT_EQ(read(), makeSet({{"urgent", 150}, {"desk", 250}, {"late", 9}}));
}

TEST_F(PublisherRaceTest, conflictIsRefusedWithObjectAndBothGenerations)
{
    publish(makeSet({{"urgent", 100}, {"desk", 200}}));
    publish(makeSet({{"urgent", 150}, {"desk", 200}}), 1);
    const auto refused = publish(makeSet({{"urgent", 170}, {"desk", 200}}), 1);
    ASSERT_FALSE(isOk(refused));
    EXPECT_EQ(errorOf(refused).reason, "object_changed_meanwhile");
    EXPECT_EQ(errorOf(refused).detail,
              "rank urgent: changed from generation 1 by this change and by generation 2");
    EXPECT_EQ(read(), makeSet({{"urgent", 150}, {"desk", 200}}));
}

TEST_F(PublisherRaceTest, mergedSetIsValidatedAgain)
{
    publish(makeSet({{"urgent", 100}, {"desk", 200}}));
    ConfigSet first = makeSet({{"urgent", 100}, {"desk", 200}});
    first.ranks["urgent"].floorShare = 0.6;
    ConfigSet second = makeSet({{"urgent", 100}, {"desk", 200}});
    second.ranks["desk"].floorShare = 0.6;
    EXPECT_TRUE(isOk(publish(first, 1)));
    const auto refused = publish(second, 1);
    ASSERT_FALSE(isOk(refused));
    EXPECT_EQ(errorOf(refused).reason, "set_has_faults");
}

TEST_F(PublisherRaceTest, concurrentPublishersOfDisjointObjectsAllSucceed)
{
    constexpr int publishers = 8;
    std::map<std::string, int> wanted;
    for (int i = 0; i < publishers; ++i)
        wanted["rank-" + std::to_string(i)] = 100;
    publish(makeSet(wanted));
    std::vector<std::future<Outcome<std::uint64_t>>> results;
    for (int i = 0; i < publishers; ++i) {
        auto targets = wanted;
        targets["rank-" + std::to_string(i)] = 200 + i;
        const PublishInfo info{"test", "", 1};
        results.push_back(asio::co_spawn(
            m_pool.strand(), m_publisher.publish(makeSet(targets), info, Clock::now() + 20s),
            asio::use_future));
    }
    std::set<std::uint64_t> generations;
    for (auto &result : results) {
        const auto published = result.get();
        ASSERT_TRUE(isOk(published)) << errorOf(published).detail;
        generations.insert(valueOf(published));
    }
    EXPECT_EQ(generations.size(), static_cast<std::size_t>(publishers));
    for (int i = 0; i < publishers; ++i)
        EXPECT_EQ(read().ranks["rank-" + std::to_string(i)].target, Milliseconds(200 + i));
}

TEST_F(PublisherRaceTest, crashBetweenAnyTwoWritesLeavesACompleteGeneration)
{
    std::map<std::string, int> targets;
    for (int i = 0; i < 12; ++i)
        targets["rank-" + std::to_string(i)] = 100;
    const ConfigSet before = makeSet(targets);
    publish(before);
    bool hasCompleted = false;
    int crashCount = 0;
    for (int writes = 0; !hasCompleted; ++writes) {
        ASSERT_LT(writes, 40);
        for (auto &[name, target] : targets)
            target = 200 + writes;
        CrashingStore crashing(m_store, writes);
        Publisher publisher(crashing);
        const auto outcome = runTask(
            m_pool, publisher.publish(makeSet(targets), {"killed", ""}, Clock::now() + 100ms));
        hasCompleted = !crashing.hasCrashed();
        crashCount += crashing.hasCrashed() ? 1 : 0;
        EXPECT_EQ(isOk(outcome), hasCompleted);
        EXPECT_EQ(read(), hasCompleted ? makeSet(targets) : before) << writes << " writes";
    }
    EXPECT_GE(crashCount, 3);
}

TEST_F(PublisherRaceTest, delayedHeadWriteAfterANewerGenerationHasNoEffect)
{
    publish(makeSet({{"urgent", 100}}));
    DelayedHeadStore delayed(m_store);
    Publisher slow(delayed);
    const auto timedOut = runTask(
        m_pool, slow.publish(makeSet({{"urgent", 300}}), {"slow", ""}, Clock::now() + 200ms));
    EXPECT_FALSE(isOk(timedOut));
    ASSERT_FALSE(delayed.capturedWrites().empty());
    ASSERT_EQ(valueOf(publish(makeSet({{"urgent", 700}}))), 2U);
    for (const DelayedHeadStore::Write &write : delayed.capturedWrites())
        m_platform.store().put(configHeadKey, write.value, write.expected);
    EXPECT_EQ(read(), makeSet({{"urgent", 700}}));
}

TEST_F(PublisherRaceTest, delayedHeadWriteOnUnchangedHeadPublishesACompleteSet)
{
    publish(makeSet({{"urgent", 100}}));
    DelayedHeadStore delayed(m_store);
    Publisher slow(delayed);
    runTask(m_pool, slow.publish(makeSet({{"urgent", 300}}), {"slow", ""}, Clock::now() + 200ms));
    for (const DelayedHeadStore::Write &write : delayed.capturedWrites())
        m_platform.store().put(configHeadKey, write.value, write.expected);
    EXPECT_EQ(read(), makeSet({{"urgent", 300}}));
    EXPECT_EQ(valueOf(publish(makeSet({{"urgent", 400}}))), 3U);
}

TEST_F(PublisherRaceTest, historyListsGenerationsNewestFirst)
{
    for (int target = 1; target <= 5; ++target)
        publish(makeSet({{"urgent", target * 100}}));
    const auto history = runTask(m_pool, m_reader.history(3, Clock::now() + 5s));
    ASSERT_TRUE(isOk(history));
    ASSERT_EQ(valueOf(history).size(), 3U);
    EXPECT_EQ(valueOf(history).front().generation, 5U);
    EXPECT_EQ(valueOf(history).back().generation, 3U);
    EXPECT_EQ(valueOf(history).front().author, "test");
    EXPECT_EQ(valueOf(runTask(m_pool, m_reader.find(2, Clock::now() + 5s))).generation, 2U);
}

} // namespace
} // namespace gwt
