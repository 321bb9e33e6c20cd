#include "common/OneShot.h"
#include "TaskRunner.h"
#include "common/Sleep.h"

#include <gtest/gtest.h>

#include <thread>

namespace gwt {
namespace {

using namespace std::chrono_literals;

struct Holder
{
    OneShot<int> value;
};

Task<void> waitOn(std::shared_ptr<Holder> holder)
{
    co_await holder->value.waitUntil(Clock::now() + 1h, 0);
}

TEST(OneShotTest, stoppingThePoolFreesATaskThatOwnsItsAwaitedValue)
{
    std::weak_ptr<Holder> observer;
    {
        WorkerPool pool(1);
        auto holder = std::make_shared<Holder>();
        observer = holder;
        spawn(pool.strand(), waitOn(std::move(holder)));
        runTask(pool, sleepFor(20ms)); // by now the task waits, or is freed before it starts
        pool.stop();
    }
    EXPECT_TRUE(observer.expired());
}

TEST(OneShotTest, theFirstValueWins)
{
    WorkerPool pool(2);
    const OneShot<int> value;
    EXPECT_TRUE(value.set(1));
    EXPECT_FALSE(value.set(2));
    EXPECT_TRUE(value.isSet());
    EXPECT_EQ(runTask(pool, value.waitUntil(Clock::now() + 10s, 3)), 1);
}

TEST(OneShotTest, theDeadlineSetsTheFallback)
{
    WorkerPool pool(2);
    const OneShot<int> value;
    EXPECT_EQ(runTask(pool, value.waitUntil(Clock::now() + 1ms, 3)), 3);
    EXPECT_FALSE(value.set(1));
}

TEST(OneShotTest, aValueFromAnotherThreadEndsTheWait)
{
    WorkerPool pool(2);
    const OneShot<int> value;
    std::thread other([value] { value.set(7); });
    EXPECT_EQ(runTask(pool, value.waitUntil(Clock::now() + 10s, 3)), 7);
    other.join();
}

} // namespace
} // namespace gwt
