#include "TaskRunner.h"

#include "common/WorkerPool.h"
#include "platform/KeyMapping.h"
#include "platform/StoreAccess.h"
#include "standins/platform/FakePlatform.h"

#include <gtest/gtest.h>

namespace gwt {
namespace {

using namespace std::chrono_literals;

class PlatformObjectStoreTest : public testing::Test
{
protected:
    PlatformObjectStoreTest()
        : m_pool(2)
        , m_platform(m_pool.executor())
        , m_client(m_pool.executor())
        , m_access(m_pool.executor(), m_client, valueOf(m_platform.listen({"127.0.0.1", 0})))
        , m_store(m_access.store())
    { }
    ~PlatformObjectStoreTest() override { m_pool.stop(); }

    Outcome<StoredObject> get(const std::string &key)
    {
        return runTask(m_pool, m_store.get(key, soon()));
    }
    Outcome<ObjectVersion> put(const std::string &key, const std::string &value,
                               ObjectVersion expected)
    {
        return runTask(m_pool, m_store.put(key, value, expected, soon()));
    }
    Outcome<WatchResult> watch(const std::string &prefix, std::uint64_t revision,
                               Milliseconds wait = 200ms)
    {
        return runTask(m_pool, m_store.watch(prefix, revision, Clock::now() + wait));
    }
    static TimePoint soon() { return Clock::now() + 5s; }
    static ErrorCode codeOf(const Outcome<ObjectVersion> &outcome)
    {
        return isOk(outcome) ? ErrorCode::Malformed : errorOf(outcome).code;
    }

    WorkerPool m_pool;
    FakePlatform m_platform;
    HttpClient m_client;
    platform::StoreAccess m_access;
    ObjectStore &m_store;
};

TEST_F(PlatformObjectStoreTest, writesSucceedOnlyAtTheExpectedVersion)
{
    const Outcome<ObjectVersion> first = put("indexes/wares/1", "one", 0);
    ASSERT_TRUE(isOk(first));
    EXPECT_EQ(codeOf(put("indexes/wares/1", "again", 0)), ErrorCode::Conflict);
    EXPECT_EQ(codeOf(put("indexes/wares/1", "stale", valueOf(first) + 1)), ErrorCode::Conflict);
    EXPECT_EQ(codeOf(put("indexes/none/1", "missing", valueOf(first))), ErrorCode::Conflict);
    const Outcome<ObjectVersion> second = put("indexes/wares/1", "two", valueOf(first));
    ASSERT_TRUE(isOk(second));
    EXPECT_GT(valueOf(second), valueOf(first));
    EXPECT_EQ(valueOf(get("indexes/wares/1")).value, "two");
    EXPECT_FALSE(isOk(runTask(m_pool, m_store.remove("indexes/wares/1", 1, soon()))));
    EXPECT_TRUE(isOk(runTask(m_pool, m_store.remove("indexes/wares/1", valueOf(second), soon()))));
    EXPECT_EQ(errorOf(get("indexes/wares/1")).code, ErrorCode::NotFound);
}

TEST_F(PlatformObjectStoreTest, listsObjectsOfAllPages)
{
    constexpr std::size_t objects = 1203; // three pages
    for (std::size_t i = 0; i < objects; ++i)
        m_platform.store().overwrite("bookings/" + std::to_string(i), "x");
    const auto listed = runTask(m_pool, m_store.list("bookings/", soon()));
    ASSERT_TRUE(isOk(listed));
    EXPECT_EQ(valueOf(listed).size(), objects);
}

TEST_F(PlatformObjectStoreTest, watchReportsChangesAndRemovalsOfItsPrefixOnly)
{
    const std::uint64_t start = valueOf(watch("config/head", 0)).revision;
    m_platform.store().overwrite("config/chunks/abc", "large");
    EXPECT_TRUE(valueOf(watch("config/head", start)).changes.empty());
    const ObjectVersion written = m_platform.store().overwrite("config/head", "1");
    const WatchResult seen = valueOf(watch("config/head", start));
    ASSERT_EQ(seen.changes.size(), 1U);
    EXPECT_EQ(seen.changes[0].key, "config/head");
    EXPECT_EQ(seen.changes[0].version, written);
    m_platform.store().remove("config/head", written);
    const WatchResult removed = valueOf(watch("config/head", seen.revision));
    ASSERT_EQ(removed.changes.size(), 1U);
    EXPECT_EQ(removed.changes[0].version, 0U);
}

TEST_F(PlatformObjectStoreTest, watchWithoutHistoryReportsAllObjects)
{
    m_platform.store().overwrite("indexes/wares/1", "one");
    const std::uint64_t before = m_platform.data().revision();
    m_platform.store().overwrite("indexes/wares/2", "two");
    m_platform.data().dropHistory();
    const Outcome<WatchResult> seen = watch("indexes/", before);
    ASSERT_TRUE(isOk(seen));
    EXPECT_EQ(valueOf(seen).changes.size(), 2U);
    EXPECT_EQ(valueOf(seen).revision, m_platform.data().revision());
}

struct FaultCase
{
    const char *name;
    PlatformFaults faults;
    ErrorCode code; ///< of a write
    bool hasEffect;
};

class PlatformFaultTest : public PlatformObjectStoreTest,
                          public testing::WithParamInterface<FaultCase>
{ };

PlatformFaults faultOf(const std::function<void(PlatformFaults &)> &set)
{
    PlatformFaults faults;
    set(faults);
    return faults;
}

TEST_P(PlatformFaultTest, failedWriteReportsWhetherItMayHaveTakenEffect)
{
    m_platform.setFaults(GetParam().faults);
    EXPECT_EQ(codeOf(put("bookings/7", "journal", 0)), GetParam().code);
    m_platform.setFaults({});
    EXPECT_EQ(isOk(get("bookings/7")), GetParam().hasEffect);
}

INSTANTIATE_TEST_SUITE_P(
    All, PlatformFaultTest,
    testing::Values(
        FaultCase{"down", faultOf([](auto &f) { f.isDown = true; }), ErrorCode::Unavailable, false},
        FaultCase{"resets", faultOf([](auto &f) { f.resets = true; }), ErrorCode::Unknown, false},
        FaultCase{"lostReply", faultOf([](auto &f) { f.loseWriteReplies = 1; }), ErrorCode::Unknown,
                  true}),
    [](const auto &info) { return std::string(info.param.name); });

class KeyMappingTest : public testing::TestWithParam<std::string>
{ };

TEST_P(KeyMappingTest, keysAreUnchangedByARoundTrip)
{
    EXPECT_EQ(platform::keyOf(platform::locationOf(GetParam())), GetParam());
}

INSTANTIATE_TEST_SUITE_P(All, KeyMappingTest,
                         testing::Values("config/head", "config/chunks/0a", "config/pages/0b",
                                         "config/manifests/0c", "indexes/wares/17", "bookings/255",
                                         "something else"));

class StoredValueTest : public testing::TestWithParam<std::string>
{ };

TEST_P(StoredValueTest, bytesAreUnchangedByARoundTrip)
{
    EXPECT_EQ(platform::decodeValue(platform::encodeValue(GetParam())), GetParam());
}

INSTANTIATE_TEST_SUITE_P(All, StoredValueTest,
                         testing::Values(std::string(), std::string(1, '\0'), std::string("ab"),
                                         std::string("abc"), std::string("\xff\xfe\x00 x", 5),
                                         std::string(300000, '=')));

class ForeignValueTest : public testing::TestWithParam<const char *>
{ };

TEST_P(ForeignValueTest, rejectsValuesThatAreNotEncoded)
{
    EXPECT_EQ(platform::decodeValue(boost::json::parse(GetParam())), std::nullopt);
}

INSTANTIATE_TEST_SUITE_P(All, ForeignValueTest,
                         testing::Values("null", "7", "{}", R"({"value":7})", R"({"value":"abc"})",
                                         R"({"value":"a*c="})"));

} // namespace
} // namespace gwt
