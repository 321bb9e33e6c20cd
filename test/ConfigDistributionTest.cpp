#include "DistributionFixture.h"

namespace gwt {
namespace {

class ConfigDistributionTest : public DistributionFixture
{ };

TEST_F(ConfigDistributionTest, generationReachesAllDaemonsWithReadsBoundedByWatchers)
{
    startFleet();
    ASSERT_EQ(publish(100), 1U);
    ASSERT_TRUE(waitForGeneration(1));
    const std::uint64_t before = m_platform.counts().reads;
    ASSERT_EQ(publish(200), 2U);
    ASSERT_TRUE(waitForGeneration(2));
    // The publisher reads the head and the manifest. Each watcher reads these and the changed
    // chunk.
    const std::uint64_t reads = m_platform.counts().reads - before;
    RecordProperty("reads", static_cast<int>(reads));
    EXPECT_LE(reads, 2 + watchersPerZone * zoneCount * 3);
    for (const auto &node : m_nodes)
        EXPECT_FALSE(node->hasReverted);
}

TEST_F(ConfigDistributionTest, indexVersionsAndTheirRemovalReachAllDaemons)
{
    startFleet();
    const IndexVersion first{"wares", 1, {"a", "b"}};
    const IndexVersion second{"wares", 2, {"a", "b", "c"}};
    m_platform.store().overwrite(indexVersionKey("wares", 1), encodeIndexVersion(first));
    const ObjectVersion stored
        = m_platform.store().overwrite(indexVersionKey("wares", 2), encodeIndexVersion(second));
    ASSERT_TRUE(publish(100) > 0 && waitForVersions("wares", 2));
    EXPECT_EQ(*m_nodes.back()->holder.indexVersion("wares", 2), second);
    ASSERT_TRUE(m_platform.store().remove(indexVersionKey("wares", 2), stored));
    EXPECT_TRUE(waitForVersions("wares", 1));
}

TEST_F(ConfigDistributionTest, daemonStartedDuringStoreOutageLoadsFromPeers)
{
    startFleet();
    m_platform.store().overwrite(indexVersionKey("wares", 1),
                                 encodeIndexVersion({"wares", 1, {"a"}}));
    ASSERT_EQ(publish(100), 1U);
    ASSERT_TRUE(waitForGeneration(1) && waitForVersions("wares", 1));
    setStoreDown(true);
    addNode(daemonCount).start();
    EXPECT_TRUE(waitForGeneration(1));
    EXPECT_TRUE(waitForVersions("wares", 1));
    setStoreDown(false);
    ASSERT_EQ(publish(200), 2U);
    EXPECT_TRUE(waitForGeneration(2));
}

TEST_F(ConfigDistributionTest, daemonReachingOnlyMinorityStaysPriming)
{
    startFleet();
    ASSERT_EQ(publish(100), 1U);
    ASSERT_TRUE(waitForGeneration(1));
    setStoreDown(true);
    for (int number = 0; number < daemonCount; ++number) {
        if (number % 2 == 0)
            m_nodes[static_cast<std::size_t>(number)]->server.closeAll();
    }
    Node &late = addNode(daemonCount);
    late.start();
    ASSERT_TRUE(waitFor([&] { return late.pulls("peer", "no_quorum") >= 3; }));
    EXPECT_EQ(late.holder.current()->generation(), 0U);
}

TEST_F(ConfigDistributionTest, generationUnseenByWatchersIsFoundByOtherDaemons)
{
    m_storeInterval = 4000ms;
    startFleet();
    ASSERT_EQ(publish(100), 1U);
    ASSERT_TRUE(waitForGeneration(1));
    const MemberList &members = *m_membership.members();
    for (const auto &node : m_nodes) {
        node->store.isDisconnected
            = isWatcher(node->member.id, node->member.availabilityZone, members, watchersPerZone);
    }
    ASSERT_EQ(publish(200), 2U);
    EXPECT_TRUE(waitForGeneration(2));
    for (const auto &node : m_nodes)
        EXPECT_FALSE(node->hasReverted);
}

TEST_F(ConfigDistributionTest, daemonWhosePeersHaveNoConfigurationReadsStore)
{
    m_storeInterval = 300ms;
    ASSERT_EQ(publish(100), 1U);
    for (int number = 0; number < daemonCount; ++number)
        addNode(number);
    const MemberList &members = *m_membership.members();
    const auto reader = std::find_if(m_nodes.begin(), m_nodes.end(), [&](const auto &node) {
        return !isWatcher(node->member.id, node->member.availabilityZone, members, watchersPerZone);
    });
    ASSERT_NE(reader, m_nodes.end());
    (*reader)->start(); // The others only answer peer requests and hold no generation.
    EXPECT_TRUE(waitFor([&] { return (*reader)->holder.current()->generation() == 1; }));
    EXPECT_EQ((*reader)->pulls("store", "taken"), 1);
}

TEST_F(ConfigDistributionTest, slowStoreIsStillFollowed)
{
    PlatformFaults slow;
    slow.delay = 800ms;
    m_platform.setFaults(slow);
    startFleet();
    const IndexVersion version{"wares", 1, {"a"}};
    m_platform.store().overwrite(indexVersionKey("wares", 1), encodeIndexVersion(version));
    ASSERT_EQ(publish(100), 1U);
    EXPECT_TRUE(waitForGeneration(1));
    EXPECT_TRUE(waitForVersions("wares", 1));
    ASSERT_EQ(publish(200), 2U);
    EXPECT_TRUE(waitForGeneration(2));
}

} // namespace
} // namespace gwt
