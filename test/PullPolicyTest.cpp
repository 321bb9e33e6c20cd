#include "distribution/Distribution.h"

#include <gtest/gtest.h>

#include <functional>

namespace gwt {
namespace {

using namespace std::chrono_literals;

constexpr Milliseconds tick{100};
constexpr int fleetSize = 18;

MemberList fleetOf(int count, std::uint64_t generation = 1)
{
    MemberList members;
    for (int i = 0; i < count; ++i) {
        Member member;
        member.id = "daemon-" + std::to_string(i);
        member.availabilityZone = "az" + std::to_string(i % 3);
        member.generation = generation;
        members.push_back(std::move(member));
    }
    return members;
}

DistributionOptions optionsOf(int number)
{
    DistributionOptions options;
    options.selfId = "daemon-" + std::to_string(number);
    options.availabilityZone = "az" + std::to_string(number % 3);
    return options;
}

/// \brief Returns the time of freshness that a daemon records in a tick, if any.
using FreshnessSource = std::function<std::optional<TimePoint>(TimePoint start, TimePoint now)>;

std::optional<TimePoint> neverFresh(TimePoint, TimePoint)
{
    return std::nullopt;
}

/// \brief Simulates peers that answer but have had no contact with the store since the start.
std::optional<TimePoint> freshOnlyAtStart(TimePoint start, TimePoint)
{
    return start;
}

std::optional<TimePoint> freshTwoSecondsAgo(TimePoint, TimePoint now)
{
    return now - 2s;
}

struct StoreReadCase
{
    std::string name;
    int members; ///< in the fleet, this daemon included
    FreshnessSource freshness;
    Milliseconds earliest; ///< bound of the first read of the store
    Milliseconds latest;
};

class StoreReadTest : public testing::TestWithParam<StoreReadCase>
{
protected:
    /// \brief Returns the time until the first read of the store; a minute if there is none.
    static Milliseconds firstRead(const StoreReadCase &fleet, std::uint32_t seed)
    {
        RandomEngine random(seed);
        const MemberList members = fleetOf(fleet.members);
        PullPolicy policy(optionsOf(0));
        const TimePoint start = TimePoint() + 1h;
        for (Milliseconds elapsed{0}; elapsed < 60s; elapsed += tick) {
            const TimePoint now = start + elapsed;
            if (const auto freshAt = fleet.freshness(start, now))
                policy.recordFreshness(*freshAt, members, random);
            if (policy.next(1, members, now, random).action == PullAction::ReadStore)
                return elapsed;
        }
        return 60s;
    }
};

TEST_P(StoreReadTest, firstReadFallsWithinBounds)
{
    for (std::uint32_t seed = 1; seed <= 50; ++seed) {
        const Milliseconds first = firstRead(GetParam(), seed);
        EXPECT_GE(first, GetParam().earliest) << "seed " << seed;
        EXPECT_LE(first, GetParam().latest) << "seed " << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(
    All, StoreReadTest,
    testing::Values(StoreReadCase{"alone", 0, neverFresh, 800ms, 900ms},
                    StoreReadCase{"noPeerAnswers", fleetSize, neverFresh, 4000ms, 5900ms},
                    StoreReadCase{"peersAreStale", fleetSize, freshOnlyAtStart, 4000ms, 5900ms},
                    StoreReadCase{"peersAreFresh", fleetSize, freshTwoSecondsAgo, 60s, 60s}),
    [](const auto &info) { return info.param.name; });

TEST(PullPolicyTest, staleFleetReadsStoreAtBoundedRate)
{
    constexpr int daemons = 60;
    constexpr std::chrono::seconds span{120};
    constexpr int readsPerSecond = 20; // one in 50 ms
    RandomEngine random(5);
    const MemberList members = fleetOf(daemons);
    std::vector<PullPolicy> policies;
    policies.reserve(daemons);
    for (int i = 0; i < daemons; ++i)
        policies.emplace_back(optionsOf(i));
    int reads = 0;
    for (Milliseconds elapsed{0}; elapsed < span; elapsed += tick) {
        for (PullPolicy &policy : policies) {
            const PullStep step = policy.next(1, members, TimePoint() + 1h + elapsed, random);
            reads += step.action == PullAction::ReadStore ? 1 : 0;
        }
    }
    EXPECT_GT(reads, 0);
    EXPECT_LE(reads, readsPerSecond * span.count());
}

struct StepCase
{
    std::string name;
    std::uint64_t generation;
    MemberList members;
    PullAction action;
    std::size_t polled;
};

class PullStepTest : public testing::TestWithParam<StepCase>
{ };

TEST_P(PullStepTest, firstStepFitsGenerationAndMembers)
{
    const StepCase &given = GetParam();
    RandomEngine random(1);
    PullPolicy policy(optionsOf(0));
    const PullStep step = policy.next(given.generation, given.members, TimePoint() + 1h, random);
    EXPECT_EQ(step.action, given.action);
    EXPECT_EQ(step.peers.size(), given.polled);
    for (const Member &peer : step.peers) {
        EXPECT_NE(peer.id, "daemon-0");
        EXPECT_NE(peer.state, MemberState::Dead);
    }
}

MemberList withDead(MemberList members, std::size_t number)
{
    members[number].state = MemberState::Dead;
    return members;
}

INSTANTIATE_TEST_SUITE_P(
    All, PullStepTest,
    testing::Values(
        StepCase{"noOtherMember", 0, fleetOf(1), PullAction::Wait, 0},
        StepCase{"noGeneration", 0, fleetOf(fleetSize), PullAction::PollQuorum, 17},
        StepCase{"deadMembersAreSkipped", 0, withDead(fleetOf(4), 2), PullAction::PollQuorum, 2},
        StepCase{"largeFleet", 0, fleetOf(300), PullAction::PollQuorum, 64},
        StepCase{"sameGenerationEverywhere", 1, fleetOf(fleetSize), PullAction::PollPeer, 1},
        StepCase{"newerGenerationGossiped", 1, fleetOf(2, 7), PullAction::PollPeer, 1}),
    [](const auto &info) { return info.param.name; });

TEST(PullPolicyTest, newerGossipedGenerationIsPolledEachTickAtItsHolder)
{
    RandomEngine random(1);
    PullPolicy policy(optionsOf(0));
    MemberList members = fleetOf(fleetSize);
    members[5].generation = 9;
    for (int i = 0; i < 10; ++i) {
        const PullStep step = policy.next(1, members, TimePoint() + 1h + i * tick, random);
        ASSERT_EQ(step.action, PullAction::PollPeer);
        EXPECT_EQ(step.peers.front().id, "daemon-5");
    }
}

TEST(PullPolicyTest, everySecondPollGoesToWatcherOfZone)
{
    RandomEngine random(1);
    PullPolicy policy(optionsOf(0));
    const MemberList members = fleetOf(fleetSize);
    const MemberList watchers = selectWatchers("az0", members, 2);
    int polls = 0;
    int watcherPolls = 0;
    for (Milliseconds elapsed{0}; elapsed < 60s; elapsed += tick) {
        const TimePoint now = TimePoint() + 1h + elapsed;
        policy.recordFreshness(now, members, random);
        const PullStep step = policy.next(1, members, now, random);
        if (step.action != PullAction::PollPeer)
            continue;
        ++polls;
        for (const Member &watcher : watchers)
            watcherPolls += watcher.id == step.peers.front().id ? 1 : 0;
    }
    EXPECT_GE(polls, 45); // The interval is 400 to 1,200 ms, 800 ms on average.
    EXPECT_GE(watcherPolls * 2, polls - 1);
}

struct QuorumCase
{
    std::size_t replies;
    std::size_t polled;
    bool isQuorum;
};

TEST(PullPolicyTest, quorumIsMoreThanHalf)
{
    for (const QuorumCase &one :
         {QuorumCase{0, 0, false}, QuorumCase{1, 1, true}, QuorumCase{1, 2, false},
          QuorumCase{2, 3, true}, QuorumCase{9, 18, false}, QuorumCase{10, 18, true}})
        EXPECT_EQ(PullPolicy::isQuorum(one.replies, one.polled), one.isQuorum) << one.replies;
}

} // namespace
} // namespace gwt
