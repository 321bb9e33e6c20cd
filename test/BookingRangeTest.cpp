#include "booking/Booking.h"
#include "common/Sleep.h"
#include "platform/Platform.h"
#include "platform/StoreAccess.h"
#include "standins/platform/FakePlatform.h"

#include <boost/asio/use_future.hpp>
#include <gtest/gtest.h>

#include <future>
#include <limits>

namespace gwt {
namespace {

using namespace std::chrono_literals;
using Record = wire::BookingRecord;

constexpr int testedRange = 7;

Record makeRecord(const std::string &key, const std::string &attempt, Record::State state)
{
    Record record;
    record.set_key(key);
    record.set_attempt(attempt);
    record.set_digest("digest");
    record.set_state(state);
    record.set_time_ms(
        static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(
                                       std::chrono::system_clock::now().time_since_epoch())
                                       .count()));
    return record;
}

class BookingRangeTest : public testing::Test
{
protected:
    BookingRangeTest()
        : m_pool(2)
        , m_platform(m_pool.executor())
        , m_client(m_pool.executor())
        , m_access(m_pool.executor(), m_client, valueOf(m_platform.listen({"127.0.0.1", 0})))
        , m_store(m_access.store())
    { }

    ~BookingRangeTest() override { m_pool.stop(); }

    /// \brief A BookingRange for the tested range, as in a separate process.
    RangePtr makeRange(const std::string &id, bool mayTakeOver = false)
    {
        return std::make_shared<BookingRange>(
            m_pool.strand(), m_store, m_metrics, testedRange, RangeHolder(id, {"127.0.0.1", 1}),
            BookingOptions{}, [mayTakeOver](const std::string &) { return mayTakeOver; });
    }

    template <typename T>
    std::future<T> start(const RangePtr &range, Task<T> task)
    {
        return asio::co_spawn(range->strand(), std::move(task), asio::use_future);
    }

    Outcome<Done> acquire(const RangePtr &range, Milliseconds timeout = 2000ms)
    {
        return start(range, range->acquire(Clock::now() + timeout)).get();
    }

    Outcome<Done> commit(const RangePtr &range, Record record, Milliseconds timeout = 2000ms)
    {
        return start(range,
                     range->commit(std::move(record), range->epoch(), Clock::now() + timeout))
            .get();
    }

    Outcome<Done> verifyHeld(const RangePtr &range)
    {
        return start(range, range->verifyHeld(Clock::now() + 5s)).get();
    }

    /// \brief The record's state in the store; STATE_UNSPECIFIED if it has none.
    Record::State storedState(const std::string &key)
    {
        const auto object = m_platform.store().get(journalKey(testedRange));
        wire::BookingJournal journal;
        if (!object || !journal.ParseFromString(object->value))
            return Record::STATE_UNSPECIFIED;
        for (const Record &record : journal.records()) {
            if (record.key() == key)
                return record.state();
        }
        return Record::STATE_UNSPECIFIED;
    }

    void waitForWrites(std::uint64_t count)
    {
        for (int i = 0; i < 500 && m_platform.counts().writes < count; ++i)
            std::this_thread::sleep_for(10ms);
        ASSERT_GE(m_platform.counts().writes, count);
    }

    void setFaults(PlatformFaults faults) { m_platform.setFaults(faults); }

    WorkerPool m_pool;
    Metrics m_metrics;
    FakePlatform m_platform;
    HttpClient m_client;
    platform::StoreAccess m_access;
    ObjectStore &m_store;
};

TEST_F(BookingRangeTest, oneOfTwoConcurrentAcquiresSucceedsAndTheOtherNamesTheHolder)
{
    const RangePtr a = makeRange("a");
    const RangePtr b = makeRange("b");
    auto first = start(a, a->acquire(Clock::now() + 2s));
    auto second = start(b, b->acquire(Clock::now() + 2s));
    const Outcome<Done> ofA = first.get();
    const Outcome<Done> ofB = second.get();
    ASSERT_NE(isOk(ofA), isOk(ofB));
    EXPECT_EQ(errorOf(isOk(ofA) ? ofB : ofA).reason, "held_by_other");
    EXPECT_EQ(errorOf(isOk(ofA) ? ofB : ofA).detail, "127.0.0.1:1");
}

TEST_F(BookingRangeTest, aWriteWithALostReplyIsDetectedAsWritten)
{
    const RangePtr a = makeRange("a");
    ASSERT_TRUE(isOk(acquire(a)));
    PlatformFaults faults;
    faults.loseWriteReplies = 1;
    setFaults(faults);
    EXPECT_TRUE(isOk(commit(a, makeRecord("k", "1", Record::SENT))));
    EXPECT_TRUE(a->isHeld());
    EXPECT_TRUE(isOk(commit(a, makeRecord("l", "1", Record::SENT))));
    EXPECT_EQ(storedState("l"), Record::SENT);
}

TEST_F(BookingRangeTest, aLateWriteIsOverwrittenByTheRefusal)
{
    const RangePtr a = makeRange("a");
    ASSERT_TRUE(isOk(acquire(a)));
    PlatformFaults faults;
    faults.lateEffect = 300ms;
    setFaults(faults);
    const Outcome<Done> sent = commit(a, makeRecord("k", "1", Record::SENT), 50ms);
    ASSERT_FALSE(isOk(sent));
    EXPECT_EQ(errorOf(sent).reason, "journal_not_written");
    setFaults({});
    const Outcome<Done> refused
        = start(a, a->commitOutcome(makeRecord("k", "1", Record::NOT_RUN), Clock::now() + 5s))
              .get();
    EXPECT_TRUE(isOk(refused));
    EXPECT_EQ(storedState("k"), Record::NOT_RUN);
}

TEST_F(BookingRangeTest, anOutageDelaysARecordButDoesNotLoseIt)
{
    const RangePtr a = makeRange("a");
    ASSERT_TRUE(isOk(acquire(a)));
    PlatformFaults faults;
    faults.isDown = true;
    setFaults(faults);
    EXPECT_FALSE(isOk(commit(a, makeRecord("k", "1", Record::DONE), 50ms)));
    EXPECT_EQ(a->find("k")->state(), Record::DONE);
    setFaults({});
    EXPECT_TRUE(isOk(verifyHeld(a)));
    EXPECT_EQ(storedState("k"), Record::DONE);
}

TEST_F(BookingRangeTest, aReplacedHolderCanNeitherWriteNorVerify)
{
    const RangePtr a = makeRange("a");
    const RangePtr b = makeRange("b", true);
    ASSERT_TRUE(isOk(acquire(a)));
    ASSERT_TRUE(isOk(commit(a, makeRecord("k", "1", Record::SENT))));
    ASSERT_TRUE(isOk(acquire(b)));
    EXPECT_EQ(b->find("k")->state(), Record::SENT);
    const Outcome<Done> late = commit(a, makeRecord("l", "1", Record::SENT));
    ASSERT_FALSE(isOk(late));
    EXPECT_EQ(errorOf(late).reason, "range_lost");
    EXPECT_FALSE(a->isHeld());
    EXPECT_FALSE(isOk(verifyHeld(a)));
    EXPECT_EQ(storedState("l"), Record::STATE_UNSPECIFIED);
    EXPECT_EQ(errorOf(acquire(a)).reason, "held_by_other");
}

TEST_F(BookingRangeTest, aReplacedHolderThatMissedTheTakeoverFailsToVerify)
{
    const RangePtr a = makeRange("a");
    const RangePtr b = makeRange("b", true);
    ASSERT_TRUE(isOk(acquire(a)));
    EXPECT_TRUE(isOk(verifyHeld(a)));
    ASSERT_TRUE(isOk(acquire(b)));
    EXPECT_TRUE(a->isHeld()); // it has not observed the takeover yet
    EXPECT_FALSE(isOk(verifyHeld(a)));
}

TEST_F(BookingRangeTest, anUpdateByAnotherProcessWithTheSameIdIsNotTakenAsOwn)
{
    const RangePtr before = makeRange("a");
    const RangePtr after = makeRange("a");
    ASSERT_TRUE(isOk(acquire(before)));
    const std::uint64_t writes = m_platform.counts().writes;
    PlatformFaults faults;
    faults.lateEffect = 300ms;
    setFaults(faults);
    auto sent = start(
        before,
        before->commit(makeRecord("k", "1", Record::SENT), before->epoch(), Clock::now() + 5s));
    waitForWrites(writes + 1);
    setFaults({});
    ASSERT_TRUE(isOk(acquire(after)));
    EXPECT_FALSE(isOk(sent.get()));
    EXPECT_EQ(storedState("k"), Record::STATE_UNSPECIFIED);
}

TEST_F(BookingRangeTest, aCommitWithAnOldEpochIsRefused)
{
    const RangePtr a = makeRange("a");
    ASSERT_TRUE(isOk(acquire(a)));
    const RangeEpoch epoch = a->epoch();
    EXPECT_TRUE(start(a, a->release(Clock::now() + 2s)).get());
    ASSERT_TRUE(isOk(acquire(a)));
    const auto late
        = start(a, a->commit(makeRecord("k", "1", Record::SENT), epoch, Clock::now() + 2s)).get();
    ASSERT_FALSE(isOk(late));
    EXPECT_EQ(errorOf(late).reason, "range_lost");
}

TEST_F(BookingRangeTest, aReleasedRangeIsAcquiredAtOnceWithItsRecords)
{
    const RangePtr a = makeRange("a");
    const RangePtr b = makeRange("b");
    ASSERT_TRUE(isOk(acquire(a)));
    ASSERT_TRUE(isOk(commit(a, makeRecord("k", "1", Record::DONE))));
    EXPECT_FALSE(isOk(acquire(b)));
    EXPECT_TRUE(start(a, a->release(Clock::now() + 2s)).get());
    b->clearCachedHolder();
    ASSERT_TRUE(isOk(acquire(b)));
    EXPECT_EQ(b->find("k")->state(), Record::DONE);
}

TEST_F(BookingRangeTest, concurrentCommitsShareAWrite)
{
    const RangePtr a = makeRange("a");
    ASSERT_TRUE(isOk(acquire(a)));
    PlatformFaults faults;
    faults.delay = 20ms;
    setFaults(faults);
    const std::uint64_t before = m_platform.counts().writes;
    std::vector<std::future<Outcome<Done>>> commits;
    commits.reserve(100);
    for (int i = 0; i < 100; ++i) {
        commits.push_back(start(a,
                                a->commit(makeRecord("k" + std::to_string(i), "1", Record::SENT),
                                          a->epoch(), Clock::now() + 5s)));
    }
    for (auto &written : commits)
        EXPECT_TRUE(isOk(written.get()));
    EXPECT_LE(m_platform.counts().writes - before, 10U);
}

struct StepCase
{
    const char *name;
    Record::State state; ///< STATE_UNSPECIFIED: no record
    const char *attempt;
    const char *refused;
    const char *digest;
    BookingDecision expected;
};

class BookingDecisionTest : public testing::TestWithParam<StepCase>
{ };

TEST_P(BookingDecisionTest, dependsOnTheRecord)
{
    Record record = makeRecord("k", GetParam().attempt, GetParam().state);
    if (*GetParam().refused)
        record.add_refused_attempts(GetParam().refused);
    wire::BookRequest request;
    request.set_key("k");
    request.set_attempt("2");
    request.set_digest(GetParam().digest);
    const bool hasRecord = GetParam().state != Record::STATE_UNSPECIFIED;
    EXPECT_EQ(decideBooking(hasRecord ? &record : nullptr, request), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    All, BookingDecisionTest,
    testing::Values(
        StepCase{"noRecord", Record::STATE_UNSPECIFIED, "", "", "digest", BookingDecision::Run},
        StepCase{"sent", Record::SENT, "1", "", "digest", BookingDecision::ReplyFromRecord},
        StepCase{"done", Record::DONE, "1", "", "digest", BookingDecision::ReplyFromRecord},
        StepCase{"notRun", Record::NOT_RUN, "1", "1", "digest", BookingDecision::Run},
        StepCase{"refusedBefore", Record::NOT_RUN, "3", "2", "digest",
                 BookingDecision::AttemptRefused},
        StepCase{"otherBody", Record::DONE, "1", "", "other", BookingDecision::KeyReused}),
    [](const auto &info) { return info.param.name; });

TEST(JournalStateTest, keepsUnsettledRecordsForeverAndOthersForTheRetention)
{
    JournalState state(JournalLimits{1000ms});
    Record sent = makeRecord("sent", "1", Record::SENT);
    Record done = makeRecord("done", "1", Record::DONE);
    sent.set_time_ms(100);
    done.set_time_ms(100);
    state.put(sent);
    state.put(done);
    state.dropExpired(1099ms);
    EXPECT_EQ(state.size(), 2U);
    state.dropExpired(1100ms);
    EXPECT_EQ(state.find("done"), nullptr);
    ASSERT_EQ(state.unsettled().size(), 1U);
}

TEST(JournalStateTest, keepsARecordWithTheMaximumTime)
{
    wire::BookingJournal journal;
    *journal.add_records() = makeRecord("done", "1", Record::DONE);
    journal.mutable_records(0)->set_time_ms(std::numeric_limits<std::int64_t>::max());
    const Outcome<wire::BookingJournal> journalRead = readJournal(journal.SerializeAsString());
    ASSERT_TRUE(isOk(journalRead));
    JournalState state(JournalLimits{1000ms});
    state.load(valueOf(journalRead));
    state.dropExpired(10'000ms);
    EXPECT_NE(state.find("done"), nullptr);
}

TEST(JournalStateTest, refusesARecordThatWouldNotFitWithItsOutcome)
{
    JournalState state(JournalLimits{1000ms, 100'000});
    int recordCount = 0;
    for (; recordCount < 100; ++recordCount) {
        const Record record = makeRecord("k" + std::to_string(recordCount), "1", Record::SENT);
        if (!state.hasRoomFor(record))
            break;
        state.put(record);
    }
    ASSERT_LT(recordCount, 100);
    for (int i = 0; i < recordCount; ++i) {
        Record record = makeRecord("k" + std::to_string(i), "1", Record::DONE);
        record.set_result(std::string(maxKeptResultBytes, 'x'));
        state.put(record);
    }
    wire::BookingJournal journal;
    state.appendTo(journal);
    EXPECT_LE(journal.ByteSizeLong(), 100'000U);
}

} // namespace
} // namespace gwt
