#include "SimulatedFleet.h"

#include <gtest/gtest.h>

namespace gwt {
namespace {

using namespace std::chrono_literals;

struct FleetCase
{
    std::string name;
    int size;
    double loss;
};

void PrintTo(const FleetCase &fleet, std::ostream *out)
{
    *out << fleet.name;
}

class GossipFleetTest : public testing::TestWithParam<FleetCase>
{
protected:
    GossipFleetTest()
        : m_fleet(GetParam().size, 4711)
    {
        m_fleet.setLoss(GetParam().loss);
    }

    SimulatedFleet m_fleet;
};

TEST_P(GossipFleetTest, allMembersDiscoverEachOther)
{
    EXPECT_TRUE(m_fleet.runUntil([&] { return m_fleet.allAlive(); }, 30s));
    for (int i = 0; i < m_fleet.size(); ++i)
        EXPECT_TRUE(m_fleet.core(i).isSynced());
    EXPECT_LE(m_fleet.largestDatagram(), GossipOptions{}.maxDatagramBytes);
}

TEST_P(GossipFleetTest, deadMemberIsRemovedByAllAndRejoinsAfterRestart)
{
    ASSERT_TRUE(m_fleet.runUntil([&] { return m_fleet.allAlive(); }, 30s));
    m_fleet.kill(3);
    EXPECT_TRUE(m_fleet.runUntil([&] { return m_fleet.allSeeState(3, std::nullopt); }, 30s));
    m_fleet.restart(3);
    EXPECT_TRUE(m_fleet.runUntil([&] { return m_fleet.allAlive(); }, 30s));
}

TEST_P(GossipFleetTest, readinessGenerationAndLeavingPropagateToAll)
{
    ASSERT_TRUE(m_fleet.runUntil([&] { return m_fleet.allAlive(); }, 30s));
    m_fleet.core(2).announceReady(true);
    m_fleet.core(2).announceGeneration(17);
    const auto isPropagatedTo = [&](int observer) {
        const MemberList members = m_fleet.core(observer).members();
        return std::any_of(members.begin(), members.end(), [](const Member &member) {
            return member.id == makeMember(2).id && member.isReady && member.generation == 17;
        });
    };
    const auto isPropagatedToAll = [&] {
        for (int i = 0; i < m_fleet.size(); ++i) {
            if (!isPropagatedTo(i))
                return false;
        }
        return true;
    };
    EXPECT_TRUE(m_fleet.runUntil(isPropagatedToAll, 10s));
    m_fleet.core(2).announceLeaving();
    const auto isLeaving = [&] { return m_fleet.allSeeState(2, MemberState::Leaving); };
    EXPECT_TRUE(m_fleet.runUntil(isLeaving, 10s));
    m_fleet.run(10s);
    EXPECT_TRUE(isLeaving());
    m_fleet.kill(2);
    EXPECT_TRUE(m_fleet.runUntil([&] { return m_fleet.allSeeState(2, std::nullopt); }, 30s));
}

INSTANTIATE_TEST_SUITE_P(Fleets, GossipFleetTest,
                         testing::Values(FleetCase{"sixWithoutLoss", 6, 0},
                                         FleetCase{"eighteenLosing10Percent", 18, 0.1},
                                         FleetCase{"eighteenLosing30Percent", 18, 0.3},
                                         FleetCase{"sixtyLosing10Percent", 60, 0.1}),
                         [](const auto &info) { return info.param.name; });

class GossipFaultTest : public testing::Test
{
protected:
    GossipFaultTest()
        : m_fleet(12, 815)
    { }

    void SetUp() override
    {
        ASSERT_TRUE(m_fleet.runUntil([&] { return m_fleet.allAlive(); }, 30s));
    }

    SimulatedFleet m_fleet;
};

TEST_F(GossipFaultTest, oneWayLinkFailureCausesNoSuspicion)
{
    m_fleet.setBlockedLinks([](int from, int to) { return from == 4 && to == 5; });
    m_fleet.run(60s);
    EXPECT_TRUE(m_fleet.allAlive());
    EXPECT_EQ(m_fleet.sum(&GossipCounts::suspicions), 0U);
    EXPECT_GT(m_fleet.sum(&GossipCounts::indirectProbes), 0U);
}

TEST_F(GossipFaultTest, memberWithBlockedSendsIsDeclaredDeadAndRejoinsOnceUnblocked)
{
    m_fleet.setBlockedLinks([](int from, int) { return from == 4; });
    EXPECT_TRUE(m_fleet.runUntil([&] { return m_fleet.allSeeState(4, std::nullopt); }, 30s));
    m_fleet.setBlockedLinks(nullptr);
    EXPECT_TRUE(m_fleet.runUntil([&] { return m_fleet.allAlive(); }, 60s));
    EXPECT_GT(m_fleet.sum(&GossipCounts::falseDeaths), 0U);
}

TEST_F(GossipFaultTest, partitionedFleetHeals)
{
    m_fleet.setBlockedLinks([](int from, int to) { return (from < 5) != (to < 5); });
    const auto isSplit = [&] {
        return !m_fleet.stateSeenBy(0, 7) && !m_fleet.stateSeenBy(7, 0)
            && !m_fleet.stateSeenBy(11, 1);
    };
    EXPECT_TRUE(m_fleet.runUntil(isSplit, 60s));
    m_fleet.setBlockedLinks(nullptr);
    EXPECT_TRUE(m_fleet.runUntil([&] { return m_fleet.allAlive(); }, 60s));
}

/// \brief Guards against a partition that outlasts the tombstones, so that each of two regions has
/// dropped the other's members: they must still find each other once it heals.
TEST(GossipRegionTest, hourLongPartitionHealsWithinTenSecondsAndBoundedTraffic)
{
    constexpr int regionSize = 10;
    constexpr std::size_t maxBytesPerSecond = 8'000; ///< mean of all members, in any second
    SimulatedFleet fleet(2 * regionSize, 17);
    ASSERT_TRUE(fleet.runUntil([&] { return fleet.allAlive(); }, 30s));
    fleet.setBlockedLinks(
        [](int from, int to) { return (from < regionSize) != (to < regionSize); });
    fleet.run(1h);
    for (int i = 0; i < fleet.size(); ++i) {
        const MemberList members = fleet.core(i).members();
        EXPECT_EQ(members.size(), std::size_t(regionSize));
        for (const Member &member : members)
            EXPECT_EQ(fleet.stateSeenBy(i, fleet.numberOf(member)), MemberState::Alive);
    }
    fleet.setBlockedLinks(nullptr);
    int seconds = 0;
    for (; seconds < 10 && !fleet.allAlive(); ++seconds) {
        const std::size_t before = fleet.sentBytes();
        fleet.run(1s);
        EXPECT_LE((fleet.sentBytes() - before) / fleet.size(), maxBytesPerSecond);
    }
    EXPECT_TRUE(fleet.allAlive());
    std::printf("all members alive %d s after the partition healed\n", seconds);
}

TEST_F(GossipFaultTest, shortPauseIsSuspectedAndRefuted)
{
    m_fleet.setPaused(7, true);
    const auto isSuspected = [&] { return m_fleet.stateSeenBy(0, 7) == MemberState::Suspect; };
    ASSERT_TRUE(m_fleet.runUntil(isSuspected, 30s));
    m_fleet.setPaused(7, false);
    EXPECT_TRUE(m_fleet.runUntil([&] { return m_fleet.allAlive(); }, 5s));
    EXPECT_GT(m_fleet.core(7).counts().refutations, 0U);
    EXPECT_EQ(m_fleet.sum(&GossipCounts::deaths), 0U);
}

TEST_F(GossipFaultTest, memberRejoinsAfterLongPauseAndSuspectsNobody)
{
    m_fleet.setPaused(7, true);
    ASSERT_TRUE(m_fleet.runUntil([&] { return m_fleet.allSeeState(7, std::nullopt); }, 30s));
    m_fleet.run(20s);
    m_fleet.setPaused(7, false);
    EXPECT_TRUE(m_fleet.runUntil([&] { return m_fleet.allAlive(); }, 30s));
    EXPECT_EQ(m_fleet.core(7).counts().suspicions, 0U);
    EXPECT_EQ(m_fleet.core(7).counts().pauses, 1U);
}

TEST_F(GossipFaultTest, allMembersAreAliveAfterHeavyLossEnds)
{
    m_fleet.setLoss(0.3);
    m_fleet.run(120s);
    EXPECT_GT(m_fleet.sum(&GossipCounts::suspicions), 0U);
    EXPECT_GT(m_fleet.sum(&GossipCounts::refutations), 0U);
    m_fleet.setLoss(0);
    EXPECT_TRUE(m_fleet.runUntil([&] { return m_fleet.allAlive(); }, 30s));
}

TEST(GossipLoadTest, heavyLossInLargeFleetCausesNoDeathAndBoundedTraffic)
{
    constexpr std::size_t maxBytesPerSecond = 8'000; ///< mean of all members
    constexpr int seconds = 10;
    SimulatedFleet fleet(150, 23);
    ASSERT_TRUE(fleet.runUntil([&] { return fleet.allAlive(); }, 60s));
    fleet.setLoss(0.2);
    fleet.run(5s);
    const std::size_t before = fleet.sentBytes();
    fleet.run(std::chrono::seconds(seconds));
    EXPECT_LE((fleet.sentBytes() - before) / fleet.size() / seconds, maxBytesPerSecond);
    EXPECT_EQ(fleet.sum(&GossipCounts::deaths), 0U);
}

TEST_F(GossipFaultTest, departedMemberIsRemovedWithinTwoSeconds)
{
    RandomEngine random(1);
    m_fleet.core(6).announceLeaving();
    m_fleet.run(1s);
    for (const GossipOutput &output : m_fleet.core(6).depart(random)) {
        m_fleet.core(output.to.port - 10000)
            .receive(makeMember(6).gossipAddress, output.message, TimePoint(2h), random);
    }
    m_fleet.kill(6);
    EXPECT_TRUE(m_fleet.runUntil([&] { return m_fleet.allSeeState(6, std::nullopt); }, 2s));
}

TEST(GossipOwnershipTest, differingViewsDisagreeOnlyOnMovedSlices)
{
    SimulatedFleet fleet(9, 99);
    for (int i = 0; i < fleet.size(); ++i)
        fleet.core(i).announceReady(true);
    ASSERT_TRUE(fleet.runUntil([&] { return fleet.allAlive(); }, 30s));
    fleet.run(3s);
    fleet.core(5).announceLeaving();
    ASSERT_NE(fleet.stateSeenBy(1, 5), MemberState::Leaving);
    const MemberList before = fleet.core(1).members();
    const MemberList after = fleet.core(5).members();
    int moved = 0;
    for (int i = 0; i < 300; ++i) {
        const std::string slice = "slice-" + std::to_string(i);
        const auto first = ownersOf(slice, "", Role::Relay, before, sliceOwnerCount);
        const auto second = ownersOf(slice, "", Role::Relay, after, sliceOwnerCount);
        ASSERT_EQ(first.size(), sliceOwnerCount);
        ASSERT_EQ(second.size(), sliceOwnerCount);
        if (first[0].id == makeMember(5).id) {
            ++moved;
            EXPECT_EQ(second[0].id, first[1].id);
        } else {
            EXPECT_EQ(second[0].id, first[0].id);
        }
    }
    EXPECT_GT(moved, 0);
}

TEST(GossipProbeTest, probeForAnotherMemberIsNotAnswered)
{
    GossipCore core(makeMember(1), GossipOptions{});
    RandomEngine random(1);
    GossipMessage ping;
    ping.kind = GossipKind::Ping;
    ping.from = makeMember(2).id;
    ping.target = makeMember(3).id;
    const Endpoint source = makeMember(2).gossipAddress;
    EXPECT_TRUE(core.receive(source, ping, TimePoint(1h), random).empty());
    ping.target = makeMember(1).id;
    EXPECT_EQ(core.receive(source, ping, TimePoint(1h), random).size(), 1U);
}

TEST(GossipCodecTest, truncatedOrCorruptedDatagramsAreDecodedOrRejected)
{
    GossipMessage message;
    message.kind = GossipKind::PingRequest;
    message.from = "a";
    message.target = "b";
    message.targetAddress = {"127.0.0.1", 9};
    message.updates = {makeMember(1), makeMember(2)};
    const std::string bytes = encodeGossip(message);
    ASSERT_TRUE(isOk(decodeGossip(bytes)));
    EXPECT_EQ(valueOf(decodeGossip(bytes)).updates, message.updates);
    RandomEngine random(5);
    int rejected = 0;
    for (int i = 0; i < 20'000; ++i) {
        std::string corrupted = bytes.substr(0, random() % (bytes.size() + 1));
        if (!corrupted.empty())
            corrupted[random() % corrupted.size()] = static_cast<char>(random());
        rejected += isOk(decodeGossip(corrupted)) ? 0 : 1;
    }
    EXPECT_GT(rejected, 0);
}

} // namespace
} // namespace gwt
