#include "ForwardingStore.h"
#include "TaskRunner.h"
#include "common/Sleep.h"
#include "control/Control.h"
#include "platform/Platform.h"
#include "platform/StoreAccess.h"
#include "standins/platform/FakePlatform.h"

#include <gtest/gtest.h>

namespace gwt {
namespace {

using namespace std::chrono_literals;

enum class Call { Read, Write };
enum class Effect { None, Full };

/// \brief A fault in the first \c times calls of one kind to keys that start with \c prefix.
struct CallFault
{
    Call call = Call::Read;
    std::string prefix;
    int times = 1;
    Effect effect = Effect::None;
    ErrorCode code
        = ErrorCode::Unavailable; ///< Timeout is returned only once the deadline has passed
};

/// \brief Forwards calls to another store and injects faults.
class FaultyStore : public ForwardingStore
{
public:
    FaultyStore(ObjectStore &store, std::vector<CallFault> faults)
        : ForwardingStore(store)
        , m_faults(std::move(faults))
    { }

    Task<Outcome<StoredObject>> get(std::string key, TimePoint deadline) override
    {
        const std::optional<CallFault> fault = consumeFault(Call::Read, key);
        if (!fault)
            co_return co_await ForwardingStore::get(std::move(key), deadline);
        co_return co_await fail(*fault, deadline);
    }

    Task<Outcome<ObjectVersion>> put(std::string key, std::string value, ObjectVersion expected,
                                     TimePoint deadline) override
    {
        const std::optional<CallFault> fault = consumeFault(Call::Write, key);
        if (!fault) {
            co_return co_await ForwardingStore::put(std::move(key), std::move(value), expected,
                                                    deadline);
        }
        if (fault->effect == Effect::Full)
            co_await ForwardingStore::put(std::move(key), std::move(value), expected, deadline);
        co_return co_await fail(*fault, deadline);
    }

    bool isExhausted() const
    {
        return std::all_of(m_faults.begin(), m_faults.end(),
                           [](const CallFault &fault) { return fault.times == 0; });
    }

private:
    std::optional<CallFault> consumeFault(Call call, const std::string &key)
    {
        for (CallFault &fault : m_faults) {
            if (fault.call != call || fault.times == 0 || key.rfind(fault.prefix, 0) != 0)
                continue;
            --fault.times;
            return fault;
        }
        return std::nullopt;
    }

    static Task<Error> fail(CallFault fault, TimePoint deadline)
    {
        if (fault.code == ErrorCode::Timeout)
            co_await sleepFor(timeLeft(deadline, Clock::now()));
        co_return Error(fault.code, "test");
    }

    std::vector<CallFault> m_faults;
};

struct RetryCase
{
    std::string name;
    std::vector<CallFault> faults;
};

class PublishRetryTest : public testing::TestWithParam<RetryCase>
{
protected:
    PublishRetryTest()
        : m_pool(2)
        , m_platform(m_pool.executor())
        , m_client(m_pool.executor())
        , m_access(m_pool.executor(), m_client, valueOf(m_platform.listen({"127.0.0.1", 0})))
        , m_store(m_access.store())
        , m_reader(m_store)
    { }

    ~PublishRetryTest() override { m_pool.stop(); }

    Outcome<std::uint64_t> publish(ObjectStore &store, int targetMs)
    {
        ConfigSet set;
        set.ranks["urgent"] = Rank{"urgent", Milliseconds(targetMs)};
        Publisher publisher(store);
        return runTask(m_pool, publisher.publish(std::move(set), {"test", ""}, Clock::now() + 15s));
    }

    WorkerPool m_pool;
    FakePlatform m_platform;
    HttpClient m_client;
    platform::StoreAccess m_access;
    ObjectStore &m_store;
    ConfigReader m_reader;
};

TEST_P(PublishRetryTest, publishSucceedsExactlyOnceDespiteTransientFaults)
{
    ASSERT_EQ(valueOf(publish(m_store, 100)), 1U);
    FaultyStore faulty(m_store, GetParam().faults);
    const Outcome<std::uint64_t> published = publish(faulty, 200);
    ASSERT_TRUE(isOk(published)) << errorOf(published).reason;
    EXPECT_EQ(valueOf(published), 2U);
    EXPECT_TRUE(faulty.isExhausted());
    const auto read = runTask(m_pool, m_reader.current(Clock::now() + 5s));
    ASSERT_TRUE(isOk(read));
    EXPECT_EQ(valueOf(read)->generation(), 2U);
    EXPECT_EQ(valueOf(read)->rank("urgent")->target, 200ms);
}

const std::string chunks = chunkKey("");
const std::string manifests = manifestKey("");

INSTANTIATE_TEST_SUITE_P(
    All, PublishRetryTest,
    testing::Values(
        RetryCase{"headReadRefused", {{Call::Read, configHeadKey, 3}}},
        RetryCase{"headReadLimited",
                  {{Call::Read, configHeadKey, 2, Effect::None, ErrorCode::Overloaded}}},
        RetryCase{"headReadWithoutReply",
                  {{Call::Read, configHeadKey, 1, Effect::None, ErrorCode::Timeout}}},
        RetryCase{"manifestReadRefused", {{Call::Read, manifests, 3}}},
        RetryCase{"chunkWriteLost", {{Call::Write, chunks, 1, Effect::Full, ErrorCode::Unknown}}},
        RetryCase{"chunkWriteWithoutReply",
                  {{Call::Write, chunks, 1, Effect::None, ErrorCode::Timeout}}},
        RetryCase{"manifestWriteLost",
                  {{Call::Write, manifests, 2, Effect::Full, ErrorCode::Unknown}}},
        RetryCase{"headWriteRefused", {{Call::Write, configHeadKey, 3}}},
        RetryCase{"headWriteLost",
                  {{Call::Write, configHeadKey, 1, Effect::Full, ErrorCode::Unknown}}},
        RetryCase{"headWriteWithoutReply",
                  {{Call::Write, configHeadKey, 1, Effect::Full, ErrorCode::Timeout}}},
        RetryCase{"headReadAndWriteLost",
                  {{Call::Read, configHeadKey, 2},
                   {Call::Write, configHeadKey, 2, Effect::Full, ErrorCode::Unknown}}}),
    [](const auto &info) { return info.param.name; });

} // namespace
} // namespace gwt
