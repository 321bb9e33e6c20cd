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
using Hearing = std::function<std::optional<TimePoint>(TimePoint start, TimePoint now)>;

std::optional<TimePoint> hearsNothing(TimePoint, TimePoint)
{
    return std::nullopt;
}

/// \brief Simulates peers that answer but have had no contact with the store since the start.
std::optional<TimePoint> hearsOldNews(TimePoint start, TimePoint)
{
    return start;
}

std::optional<TimePoint> hearsFreshNews(TimePoint, TimePoint now)
{
    return now - 2s;
}

struct StoreReadCase
{
    std::string name;
    int members; ///< in the fleet, this daemon included
    Hearing hearing;
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
            if (const auto fresh = fleet.hearing(start, now))
                policy.heard(*fresh, members, random);
            if (policy.next(1, members, now, random).action == PullAction::ReadStore)
                return elapsed;
        }
        return 60s;
    }
};

TEST_P(StoreReadTest, theFirstReadFallsIntoItsBounds)
{
    for (std::uint32_t seed = 1; seed <= 50; ++seed) {
        const Milliseconds first = firstRead(GetParam(), seed);
        EXPECT_GE(first, GetParam().earliest) << "seed " << seed;
        EXPECT_LE(first, GetParam().latest) << "seed " << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(
    All, StoreReadTest,
    testing::Values(StoreReadCase{"alone", 0, hearsNothing, 800ms, 900ms},
                    StoreReadCase{"noPeerAnswers", fleetSize, hearsNothing, 4000ms, 5900ms},
                    StoreReadCase{"peersAnswerWithOldNews", fleetSize, hearsOldNews, 4000ms,
                                  5900ms},
                    StoreReadCase{"freshNewsComes", fleetSize, hearsFreshNews, 60s, 60s}),
    [](const auto &info) { return info.param.name; });

TEST(PullPolicyTest, aFleetThatHearsNothingReadsTheStoreAtABoundedRate)
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
    std::uint64_t held;
    MemberList members;
    PullAction action;
    std::size_t asked;
};

class PullStepTest : public testing::TestWithParam<StepCase>
{ };

TEST_P(PullStepTest, theFirstStepFitsWhatIsHeld)
{
    const StepCase &given = GetParam();
    RandomEngine random(1);
    PullPolicy policy(optionsOf(0));
    const PullStep step = policy.next(given.held, given.members, TimePoint() + 1h, random);
    EXPECT_EQ(step.action, given.action);
    EXPECT_EQ(step.peers.size(), given.asked);
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
    testing::Values(StepCase{"onlyItself", 0, fleetOf(1), PullAction::Wait, 0},
                    StepCase{"nothingHeld", 0, fleetOf(fleetSize), PullAction::AskQuorum, 17},
                    StepCase{"deadAreNotAsked", 0, withDead(fleetOf(4), 2), PullAction::AskQuorum,
                             2},
                    StepCase{"largeFleet", 0, fleetOf(300), PullAction::AskQuorum, 64},
                    StepCase{"heldByAll", 1, fleetOf(fleetSize), PullAction::AskOne, 1},
                    StepCase{"newerGossiped", 1, fleetOf(2, 7), PullAction::AskOne, 1}),
    [](const auto &info) { return info.param.name; });

TEST(PullPolicyTest, aNewerGenerationIsAskedForInEachTickAndOnlyWhereItIs)
{
    RandomEngine random(1);
    PullPolicy policy(optionsOf(0));
    MemberList members = fleetOf(fleetSize);
    members[5].generation = 9;
    for (int i = 0; i < 10; ++i) {
        const PullStep step = policy.next(1, members, TimePoint() + 1h + i * tick, random);
        ASSERT_EQ(step.action, PullAction::AskOne);
        EXPECT_EQ(step.peers.front().id, "daemon-5");
    }
}

TEST(PullPolicyTest, everySecondAskGoesToAWatcherOfTheZone)
{
    RandomEngine random(1);
    PullPolicy policy(optionsOf(0));
    const MemberList members = fleetOf(fleetSize);
    const MemberList watchers = watchersOf("az0", members, 2);
    int asks = 0;
    int ofWatchers = 0;
    for (Milliseconds elapsed{0}; elapsed < 60s; elapsed += tick) {
        const TimePoint now = TimePoint() + 1h + elapsed;
        policy.heard(now, members, random);
        const PullStep step = policy.next(1, members, now, random);
        if (step.action != PullAction::AskOne)
            continue;
        ++asks;
        for (const Member &watcher : watchers)
            ofWatchers += watcher.id == step.peers.front().id ? 1 : 0;
    }
    EXPECT_GE(asks, 45); // The interval is 400 to 1,200 ms, 800 ms on average.
    EXPECT_GE(ofWatchers * 2, asks - 1);
}

struct QuorumCase
{
    std::size_t answers;
    std::size_t asked;
    bool isQuorum;
};

TEST(PullPolicyTest, aQuorumIsMoreThanHalf)
{
    for (const QuorumCase &one :
         {QuorumCase{0, 0, false}, QuorumCase{1, 1, true}, QuorumCase{1, 2, false},
          QuorumCase{2, 3, true}, QuorumCase{9, 18, false}, QuorumCase{10, 18, true}})
        EXPECT_EQ(PullPolicy::isQuorum(one.answers, one.asked), one.isQuorum) << one.answers;
}

} // namespace
} // namespace gwt
