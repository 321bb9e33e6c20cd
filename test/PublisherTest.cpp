#include "TaskRunner.h"
#include "control/Control.h"
#include "platform/Platform.h"
#include "platform/StoreAccess.h"
#include "standins/platform/FakePlatform.h"

#include <gtest/gtest.h>

namespace gwt {
namespace {

using namespace std::chrono_literals;

ConfigSet makeSet(int targetMs)
{
    ConfigSet set;
    set.ranks["urgent"] = Rank{"urgent", Milliseconds(targetMs)};
    return set;
}

class PublisherTest : public testing::Test
{
protected:
    PublisherTest()
        : m_pool(2)
        , m_platform(m_pool.executor())
        , m_client(m_pool.executor())
        , m_access(m_pool.executor(), m_client, valueOf(m_platform.listen({"127.0.0.1", 0})))
        , m_store(m_access.store())
        , m_publisher(m_store)
        , m_reader(m_store)
    { }

    ~PublisherTest() override { m_pool.stop(); }

    Outcome<std::uint64_t> publish(int targetMs, Milliseconds timeout = 5000ms)
    {
        return runTask(
            m_pool, m_publisher.publish(makeSet(targetMs), {"test", ""}, Clock::now() + timeout));
    }

    std::shared_ptr<const Config> read()
    {
        return valueOf(runTask(m_pool, m_reader.current(Clock::now() + 5s)));
    }

    WorkerPool m_pool;
    FakePlatform m_platform;
    HttpClient m_client;
    platform::StoreAccess m_access;
    ObjectStore &m_store;
    Publisher m_publisher;
    ConfigReader m_reader;
};

TEST_F(PublisherTest, publishedSetIsRead)
{
    EXPECT_EQ(valueOf(publish(100)), 1U);
    EXPECT_EQ(valueOf(publish(200)), 2U);
    EXPECT_EQ(read()->generation(), 2U);
    EXPECT_EQ(read()->set(), makeSet(200));
}

TEST_F(PublisherTest, lostReplyOfHeadWriteIsResolvedAsPublished)
{
    PlatformFaults faults;
    faults.loseWriteReplies = 1;
    faults.loseReplyPrefix = "config/head";
    m_platform.setFaults(faults);
    EXPECT_EQ(valueOf(publish(100)), 1U);
    EXPECT_EQ(m_platform.counts().lostReplies, 1U);
    EXPECT_EQ(read()->generation(), 1U);
}

TEST_F(PublisherTest, invalidSetIsRefusedBeforeAnyWrite)
{
    const auto outcome = runTask(m_pool, m_publisher.publish(ConfigSet{}, {}, Clock::now() + 5s));
    ASSERT_FALSE(isOk(outcome));
    EXPECT_EQ(errorOf(outcome).reason, "set_has_faults");
    EXPECT_EQ(m_platform.counts().writes, 0U);
}

TEST_F(PublisherTest, unavailableStorePublishesNothing)
{
    PlatformFaults faults;
    faults.isDown = true;
    m_platform.setFaults(faults);
    EXPECT_FALSE(isOk(publish(100, 200ms)));
    m_platform.setFaults({});
    const auto current = runTask(m_pool, m_reader.current(Clock::now() + 5s));
    ASSERT_FALSE(isOk(current));
    EXPECT_EQ(errorOf(current).code, ErrorCode::NotFound);
}

} // namespace
} // namespace gwt
