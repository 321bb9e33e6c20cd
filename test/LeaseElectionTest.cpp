#include "gateway/quota/LeaseElectorate.h"
#include "gateway/quota/LeaseKeeper.h"
#include "gateway/quota/LeaseVoter.h"

#include <gtest/gtest.h>

namespace gwt {
namespace {

using namespace std::chrono_literals;

const TimePoint start{1h};
const LeaseRules rules;

struct TakeoverCase
{
    std::string name;
    std::size_t voters; ///< of the lease
    std::size_t withdrawals; ///< of these
    Duration writeTime; ///< until the reply to the write
    std::optional<Duration> grantsAfter; ///< after the reply; nullopt: the lease is not taken
};

class LeaseTakeoverTest : public testing::TestWithParam<TakeoverCase>
{ };

// Guards against a successor that grants beside the holder: calls to the holder fail, but only the
// withdrawals of a majority of its voters prove that it lacks votes (review case 11).
TEST_P(LeaseTakeoverTest, onlyWithdrawalsOfAMajorityReplaceTheWait)
{
    const LeaseVotes votes(rules);
    LeaseKeeper keeper(rules, {"a", "a-1"}, 0, votes);
    keeper.setCandidates({"a", "b", "c"});
    std::vector<std::string> voters;
    for (std::size_t i = 0; i < GetParam().voters; ++i)
        voters.push_back("v" + std::to_string(i));
    keeper.onLease(Lease{"b", "b-1", 1, 2, 0, voters}, 2, start);
    keeper.onProbe("b", ProbeResult::NoReply, start, start);
    for (std::size_t i = 0; i < GetParam().withdrawals; ++i)
        keeper.onWithdrawal(voters.at(i), "b-1", start);
    keeper.onProbe("c", ProbeResult::Reached, start, start);
    auto lease = keeper.beginWrite(start + 500ms);
    ASSERT_EQ(lease.has_value(), GetParam().grantsAfter.has_value());
    if (!lease)
        return;
    const TimePoint written = start + 500ms + GetParam().writeTime;
    lease->revision = 3;
    keeper.onWritten(lease, written);
    const TimePoint from = written + *GetParam().grantsAfter;
    EXPECT_EQ(keeper.grantsFrom(), from);
    EXPECT_TRUE(keeper.mayGrant(from, from));
}

INSTANTIATE_TEST_SUITE_P(Withdrawals, LeaseTakeoverTest,
                         testing::Values(TakeoverCase{"none", 5, 0, 0s, std::nullopt},
                                         TakeoverCase{"minority", 5, 2, 0s, std::nullopt},
                                         TakeoverCase{"majority", 5, 3, 0s, 0s},
                                         TakeoverCase{"halfOfFour", 4, 2, 0s, std::nullopt},
                                         TakeoverCase{"onlyVoter", 1, 1, 0s, 0s},
                                         TakeoverCase{"noVoters", 0, 0, 0s, std::nullopt},
                                         TakeoverCase{"expiredDuringTheWrite", 5, 5, 1600ms,
                                                      rules.proofLimit}),
                         [](const auto &info) { return info.param.name; });

// A process that was cut off itself must not take leases from holders that others reach, as soon as
// it is back or as long as it reaches the store.
TEST(LeaseKeeperIsolationTest, silenceWhileThisProcessIsIsolatedDoesNotCount)
{
    const LeaseVotes votes(rules);
    LeaseKeeper keeper(rules, {"a", "a-1"}, 0, votes);
    keeper.setCandidates({"a", "b"});
    keeper.onLease(Lease{"b", "b-1", 1, 2}, 2, start);
    keeper.setVoters({}, true);
    keeper.onProbe("b", ProbeResult::NoReply, start, start);
    EXPECT_FALSE(keeper.beginWrite(start + rules.isolatedSilenceLimit - 1ms));
    keeper.setVoters({"c"}, false);
    EXPECT_FALSE(keeper.beginWrite(start + rules.isolatedSilenceLimit));
    keeper.onProbe("b", ProbeResult::NoReply, start + 20s, start + 20s);
    EXPECT_TRUE(keeper.beginWrite(start + 20s + rules.silenceLimit));
}

// While the result of a change of voters is unknown, a successor may rest on either set.
TEST(LeaseKeeperRenewalTest, bothSetsOfVotersHaveToVoteUntilTheResultIsKnown)
{
    LeaseVotes votes(rules);
    LeaseKeeper keeper(rules, {"a", "a-1"}, 0, votes);
    keeper.setCandidates({"a", "b"});
    keeper.setVoters({"old"}, false);
    keeper.onLease(std::nullopt, 1, start);
    auto lease = keeper.beginWrite(start);
    ASSERT_TRUE(lease);
    lease->revision = 2;
    keeper.onWritten(lease, start);
    votes.record("old", start);
    EXPECT_TRUE(keeper.mayGrant(start, start));
    auto renewed = keeper.beginRenewal({"new"});
    ASSERT_TRUE(renewed);
    EXPECT_EQ(renewed->term, lease->term);
    EXPECT_EQ(keeper.grantState(start, start), GrantState::NoVotes);
    keeper.onWritten(std::nullopt, start + 1s);
    votes.record("new", start);
    EXPECT_TRUE(keeper.mayGrant(start, start));
    renewed->revision = 3;
    keeper.onLease(renewed, 3, start + 1s);
    const TimePoint later = start + rules.voteLifetime + 1ms;
    EXPECT_EQ(keeper.grantState(later, later), GrantState::NoVotes);
    votes.record("new", later);
    EXPECT_TRUE(keeper.mayGrant(later, later));
}

struct VoterCase
{
    std::string name;
    std::optional<Duration> votedAt; ///< after the start of the voter
    Duration askedAt; ///< to withdraw
    bool isWithdrawn;
};

class LeaseVoterTest : public testing::TestWithParam<VoterCase>
{ };

// A voter that withdrew a vote that its holder still acts on would let two processes grant, and so
// would one that voted again while the former holder may have a recent proof.
TEST_P(LeaseVoterTest, withdrawsOnlyExpiredVotesAndGivesNoneAfterwards)
{
    LeaseVoter voter(rules, start);
    if (GetParam().votedAt) {
        EXPECT_TRUE(voter.vote("b-1", start + *GetParam().votedAt));
    }
    const TimePoint askedAt = start + GetParam().askedAt;
    EXPECT_EQ(voter.withdraw("b", "b-1", askedAt), GetParam().isWithdrawn);
    EXPECT_EQ(voter.vote("b-1", askedAt + rules.withdrawalTime - 1ms), !GetParam().isWithdrawn);
    EXPECT_TRUE(voter.vote("b-1", askedAt + rules.withdrawalTime));
    EXPECT_TRUE(voter.vote("c-1", askedAt));
}

INSTANTIATE_TEST_SUITE_P(Votes, LeaseVoterTest,
                         testing::Values(VoterCase{"justStarted", std::nullopt, 1199ms, false},
                                         VoterCase{"neverVoted", std::nullopt, 1200ms, true},
                                         VoterCase{"valid", 5s, 6199ms, false},
                                         VoterCase{"expired", 5s, 6200ms, true}),
                         [](const auto &info) { return info.param.name; });

struct SuspensionCase
{
    std::string name;
    bool isReached; ///< the holder, by the voter
    bool isSuspended;
};

class VoteSuspensionTest : public testing::TestWithParam<SuspensionCase>
{ };

// A holder that reaches its voters, but that neither they nor candidates reach, serves nobody else.
TEST_P(VoteSuspensionTest, endsTheVotesForAHolderThatTheVoterCannotReach)
{
    LeaseVoter voter(rules, start);
    TimePoint now = start + 5s;
    EXPECT_TRUE(voter.vote("b-1", now));
    voter.recordProbe("b", GetParam().isReached, now);
    EXPECT_FALSE(voter.withdraw("b", "b-1", now));
    now += 500ms;
    EXPECT_EQ(voter.vote("b-1", now), !GetParam().isSuspended);
    now += 700ms;
    EXPECT_EQ(voter.withdraw("b", "b-1", now), GetParam().isSuspended);
}

INSTANTIATE_TEST_SUITE_P(Probes, VoteSuspensionTest,
                         testing::Values(SuspensionCase{"reached", true, false},
                                         SuspensionCase{"notReached", false, true}),
                         [](const auto &info) { return info.param.name; });

TEST(LeaseRulesTest, aWithdrawnVoteIsNotGivenAgainBeforeTheFormerHolderLearnsOfItsSuccessor)
{
    EXPECT_GT(rules.voteExpiry, rules.voteLifetime);
    EXPECT_GT(rules.withdrawalTime, rules.withdrawalLifetime + rules.proofLimit);
}

/// Process of host "self" in zone "x", among eight other hosts in three zones.
class LeaseElectorateTest : public testing::Test
{
protected:
    LeaseElectorateTest()
    {
        std::vector<FleetMember> members{{"self", {}, "x"}};
        for (int i = 0; i < 9; ++i)
            members.push_back({"h" + std::to_string(i),
                               {},
                               i % 3 == 0       ? "x"
                                   : i % 3 == 1 ? "y"
                                                : "z"});
        m_electorate.setMembers(members);
    }
    void vote(const std::vector<std::string> &hosts, TimePoint now)
    {
        for (const std::string &host : hosts)
            m_votes.record(host, now);
    }

    LeaseVotes m_votes{rules};
    LeaseElectorate m_electorate{rules, {"self", {}, "x"}, m_votes};
};

// A holder must not keep enough votes when its zone is cut off, nor lose them with another zone.
TEST_F(LeaseElectorateTest, prospectsAreSpreadOverTheZones)
{
    std::map<int, int> zones;
    for (const std::string &host : m_electorate.prospects(start))
        ++zones[(host.back() - '0') % 3];
    EXPECT_EQ(zones, (std::map<int, int>{{0, 1}, {1, 2}, {2, 2}}));
}

TEST_F(LeaseElectorateTest, hostsThatFailMakeRoomForOthers)
{
    const auto first = m_electorate.prospects(start);
    m_electorate.recordFailure(first.front(), start);
    const auto second = m_electorate.prospects(start + 1s);
    EXPECT_EQ(second.size(), first.size());
    EXPECT_EQ(std::count(second.begin(), second.end(), first.front()), 0);
    EXPECT_EQ(m_electorate.prospects(start + 1min), first);
}

struct ReplacementCase
{
    std::string name;
    std::size_t voting; ///< of the five voters, 3 s after the last change
    std::size_t others; ///< further hosts that vote
    Duration age; ///< of the last votes of the voters that do not vote now
    std::optional<std::size_t> replacements;
};

class VoterReplacementTest : public LeaseElectorateTest,
                             public testing::WithParamInterface<ReplacementCase>
{ };

// Each change costs a write, while a holder that one more loss leaves without votes is at risk. A
// holder that is cut off must leave its lease to the others first.
TEST_P(VoterReplacementTest, dependsOnTheVotesLeft)
{
    const auto hosts = m_electorate.prospects(start);
    vote(hosts, start);
    const TimePoint now = start + GetParam().age;
    vote({hosts.begin(), hosts.begin() + static_cast<std::ptrdiff_t>(GetParam().voting)}, now);
    std::vector<std::string> others;
    for (int i = 0; i < 9 && others.size() < GetParam().others; ++i) {
        const std::string host = "h" + std::to_string(i);
        if (std::find(hosts.begin(), hosts.end(), host) == hosts.end())
            others.push_back(host);
    }
    vote(others, now);
    const auto replacement = m_electorate.replacement(hosts, 3s, now);
    EXPECT_EQ(replacement ? std::optional(replacement->size()) : std::nullopt,
              GetParam().replacements);
}

INSTANTIATE_TEST_SUITE_P(Votes, VoterReplacementTest,
                         testing::Values(ReplacementCase{"all", 5, 0, 3s, std::nullopt},
                                         ReplacementCase{"oneLost", 4, 1, 3s, std::nullopt},
                                         ReplacementCase{"twoLost", 3, 1, 3s, 4},
                                         ReplacementCase{"mostLost", 1, 2, 3s, 3},
                                         ReplacementCase{"cutOff", 0, 0, 3s, std::nullopt},
                                         ReplacementCase{"minority", 1, 1, 3s, std::nullopt},
                                         ReplacementCase{"alone", 0, 0, 4s, 0}),
                         [](const auto &info) { return info.param.name; });

} // namespace
} // namespace gwt
