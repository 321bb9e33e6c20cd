#include "gateway/quota/LeaseKeeper.h"

#include <gtest/gtest.h>

namespace gwt {
namespace {

using namespace std::chrono_literals;

const TimePoint start{1h};

/// Process "a-1" of host "a", one of three candidates.
class LeaseKeeperTest : public testing::Test
{
protected:
    LeaseKeeperTest() { m_keeper.setCandidates({"a", "b", "c"}); }

    void learn(const std::string &holder, std::uint64_t revision, TimePoint now)
    {
        const Lease lease{holder, holder + "-1", revision, revision};
        m_keeper.onLease(lease, revision, now);
    }

    const LeaseRules m_rules;
    LeaseVotes m_votes{m_rules};
    LeaseKeeper m_keeper{m_rules, {"a", "a-1"}, 0, m_votes};
};

// Two processes would grant if a process took its lease to be in force after it had learned of a
// newer one, because a watch reports only further changes.
TEST_F(LeaseKeeperTest, aLateReplyToAWriteDoesNotReplaceANewerLease)
{
    m_keeper.onLease(std::nullopt, 1, start);
    const auto written = m_keeper.beginWrite(start);
    ASSERT_TRUE(written);
    learn("a", 2, start + 1s);
    learn("b", 3, start + 2s);
    Lease own = *written;
    own.revision = 2;
    m_keeper.onWritten(own, start + 2100ms);
    EXPECT_FALSE(m_keeper.mayGrant(start + 3s, start + 3s));
    EXPECT_EQ(m_keeper.holder(), "b");
}

// A holder that was silent for a moment, or only for a process that is cut off itself, must not be
// replaced: its range would have no coordinator for the wait.
TEST_F(LeaseKeeperTest, onlyALongSilenceThatOthersDoNotShareIsChallenged)
{
    learn("b", 2, start);
    m_keeper.onProbe("b", ProbeResult::NoReply, start, start);
    m_keeper.onProbe("c", ProbeResult::Reached, start, start);
    EXPECT_FALSE(m_keeper.beginWrite(start + 900ms));
    EXPECT_FALSE(m_keeper.beginWrite(start + 2s));
    m_keeper.onProbe("c", ProbeResult::Reached, start + 2s, start + 2s);
    EXPECT_TRUE(m_keeper.beginWrite(start + 2s));
}

// The former holder may grant until its proof is too old.
TEST_F(LeaseKeeperTest, aSuccessorWaitsUntilTheProofOfTheFormerHolderIsTooOld)
{
    learn("b", 2, start);
    m_keeper.onProbe("b", ProbeResult::NoReply, start, start);
    const TimePoint now = start + 1s;
    m_keeper.onProbe("c", ProbeResult::Reached, now, now);
    ASSERT_TRUE(m_keeper.beginWrite(now));
    m_keeper.onWritten(Lease{"a", "a-1", 3, 3}, now);
    const TimePoint waited = now + m_rules.proofLimit;
    EXPECT_FALSE(m_keeper.mayGrant(waited - 1ms, waited - 1ms));
    EXPECT_TRUE(m_keeper.mayGrant(waited, waited));
    EXPECT_FALSE(m_keeper.mayGrant(waited, waited + m_rules.proofLimit + 1ms));
}

// Others do not challenge a holder that they reach, so it must grant in the end.
TEST_F(LeaseKeeperTest, aLeaseWhoseWriteGotNoReplyIsTakenAgainAlsoByANonCandidate)
{
    m_keeper.onLease(std::nullopt, 1, start);
    ASSERT_TRUE(m_keeper.beginWrite(start));
    m_keeper.onWritten(std::nullopt, start + 2s);
    learn("a", 2, start + 2s);
    m_keeper.setCandidates({"b", "c", "d"});
    const auto again = m_keeper.beginWrite(start + 2s);
    ASSERT_TRUE(again);
    m_keeper.onWritten(Lease{"a", "a-1", 3, 3}, start + 2s);
    const TimePoint from = start + 2s + LeaseRules{}.proofLimit;
    EXPECT_FALSE(m_keeper.mayGrant(from - 1s, from - 1s));
    EXPECT_TRUE(m_keeper.mayGrant(from, from));
}

// Each planned restart of a coordinator would otherwise leave its range without one for the turn of
// the host that has just given it up.
TEST_F(LeaseKeeperTest, aReleasedLeaseIsTakenAtOnceByTheNextCandidate)
{
    LeaseKeeper next(m_rules, {"b", "b-1"}, 0, m_votes);
    next.setCandidates({"a", "b", "c"});
    next.onLease(Lease{"a", "a-1", 1, 2}, 2, start);
    next.onLease(Lease{"", "", 2, 3}, 3, start + 1s);
    EXPECT_TRUE(next.beginWrite(start + 1s));
    LeaseKeeper last(m_rules, {"c", "c-1"}, 0, m_votes);
    last.setCandidates({"a", "b", "c"});
    last.onLease(Lease{"a", "a-1", 1, 2}, 2, start);
    last.onLease(Lease{"", "", 2, 3}, 3, start + 1s);
    EXPECT_FALSE(last.beginWrite(start + 1s));
    EXPECT_TRUE(last.beginWrite(start + 1s + m_rules.turn));
}

// Candidates reach a process that is stopping, so they would wait for its end.
TEST_F(LeaseKeeperTest, aWriteThatTakesEffectAfterTheReleaseIsReleasedToo)
{
    m_keeper.onLease(std::nullopt, 1, start);
    const auto written = m_keeper.beginWrite(start);
    ASSERT_TRUE(written);
    EXPECT_FALSE(m_keeper.release());
    Lease own = *written;
    own.revision = 2;
    m_keeper.onWritten(own, start + 1s);
    const auto released = m_keeper.release();
    ASSERT_TRUE(released);
    EXPECT_EQ(*released, (Lease{"", "", 2, 2}));
}

// Two candidates that reach the store and the third one, but not each other, must not take a lease
// from each other again and again: each change costs the wait, so that none of them would grant.
TEST_F(LeaseKeeperTest, aHolderThatWasReplacedDoesNotChallengeItsSuccessorForSilence)
{
    LeaseKeeper other(m_rules, {"b", "b-1"}, 0, m_votes);
    other.setCandidates({"a", "b", "c"});
    std::optional<Lease> stored;
    std::uint64_t revision = 1;
    int changes = 0;
    for (TimePoint now = start; now < start + 25s; now += 100ms) {
        for (LeaseKeeper *keeper : {&m_keeper, &other}) {
            keeper->onLease(stored, revision, now);
            keeper->onProbe(keeper == &m_keeper ? "b" : "a", ProbeResult::NoReply, now, now);
            keeper->onProbe("c", ProbeResult::Reached, now, now);
            auto update = keeper->beginWrite(now);
            if (!update)
                continue;
            ++changes;
            update->revision = ++revision;
            stored = update;
            keeper->onWritten(update, now);
        }
    }
    EXPECT_EQ(changes, 2);
    EXPECT_TRUE(other.mayGrant(start + 25s, start + 25s));
}

// The reply of a former process, or the refusal of a connection before the host's new process ran,
// proves nothing about the new process. A successor that did not wait would grant beside it.
TEST_F(LeaseKeeperTest, aCallFromBeforeAChangeOfTheHolderProvesNothingAboutIt)
{
    learn("b", 2, start);
    const TimePoint calledAt = start + 1s;
    m_keeper.onLease(Lease{"b", "b-2", 3, 3}, 3, start + 2s);
    m_keeper.onProbe("b", ProbeResult::Ended, calledAt, start + 2s);
    EXPECT_FALSE(m_keeper.beginWrite(start + 2s));
    m_keeper.onProbe("b", ProbeResult::Ended, start + 2s, start + 3s);
    EXPECT_TRUE(m_keeper.beginWrite(start + 3s));
}

} // namespace
} // namespace gwt
