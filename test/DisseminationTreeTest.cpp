#include "gateway/sharing/DisseminationTree.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

namespace gwt {
namespace {

using namespace std::chrono_literals;

const TimePoint start{1h};

struct FleetSize
{
    std::size_t members;
    std::size_t zones;
};

std::vector<FleetMember> makeMembers(FleetSize size)
{
    std::vector<FleetMember> members;
    for (std::size_t i = 0; i < size.members; ++i) {
        const auto port = static_cast<std::uint16_t>(i + 1);
        const std::string zone = "zone-" + std::to_string(i % size.zones);
        members.push_back({"host-" + std::to_string(i), {"127.0.0.1", port}, zone});
    }
    return members;
}

/// \brief The sources and hops of every member of a fleet.
struct Fleet
{
    explicit Fleet(FleetSize size)
        : members(makeMembers(size))
    {
        for (const FleetMember &member : members) {
            DisseminationTree tree(member.name);
            tree.setMembers(members);
            sources[member.name] = tree.sources(start);
            hops[member.name] = tree.hops(start);
            zones[member.name] = member.availabilityZone;
            if (sources[member.name].empty())
                watchers.insert(member.name);
        }
    }

    std::vector<FleetMember> members;
    std::map<std::string, std::vector<FleetMember>> sources;
    std::map<std::string, int> hops;
    std::map<std::string, std::string> zones;
    std::set<std::string> watchers;
};

class DisseminationTreeTest : public testing::TestWithParam<FleetSize>
{
protected:
    /// Shared by the tests of one size: computing a large fleet takes seconds.
    static const Fleet &fleetOf(FleetSize size)
    {
        static std::map<std::pair<std::size_t, std::size_t>, Fleet> fleets;
        return fleets.try_emplace({size.members, size.zones}, size).first->second;
    }

    const Fleet &m_fleet = fleetOf(GetParam());
};

TEST_P(DisseminationTreeTest, aFewMembersWatchTheRegistryAndAllOthersReachThem)
{
    EXPECT_EQ(m_fleet.watchers.size(),
              std::min<std::size_t>(DisseminationTree::s_watcherCount, m_fleet.members.size()));
    for (const FleetMember &member : m_fleet.members) {
        EXPECT_LE(m_fleet.hops.at(member.name), 3);
        for (const FleetMember &source : m_fleet.sources.at(member.name)) {
            // No cycles: each source is closer to the registry.
            EXPECT_LT(m_fleet.hops.at(source.name), m_fleet.hops.at(member.name));
        }
        if (!m_fleet.watchers.contains(member.name)) {
            EXPECT_EQ(m_fleet.sources.at(member.name).size(), DisseminationTree::s_sourceCount);
        }
    }
}

TEST_P(DisseminationTreeTest, theNumberOfPollersPerMemberIsBounded)
{
    std::map<std::string, std::size_t> pollerCounts;
    for (const auto &[name, sources] : m_fleet.sources) {
        for (const FleetMember &source : sources)
            ++pollerCounts[source.name];
    }
    // Members of its own zone and, for a watcher, the heads of all zones.
    const std::size_t maxPollers
        = DisseminationTree::s_sourceCount * (DisseminationTree::s_fanOut + 1)
        + DisseminationTree::s_headsPerZone * GetParam().zones;
    for (const auto &[name, count] : pollerCounts)
        EXPECT_LE(count, maxPollers) << name;
}

TEST_P(DisseminationTreeTest, onlyZoneHeadsPollAcrossZones)
{
    std::set<std::string> watchedZones;
    for (const std::string &name : m_fleet.watchers)
        watchedZones.insert(m_fleet.zones.at(name));
    EXPECT_EQ(watchedZones.size(), std::min(m_fleet.watchers.size(), GetParam().zones));
    std::size_t crossZonePollers = 0;
    for (const auto &[name, sources] : m_fleet.sources) {
        const std::string &zone = m_fleet.zones.at(name);
        crossZonePollers += std::any_of(sources.begin(), sources.end(), [&](const auto &source) {
            return source.availabilityZone != zone;
        });
    }
    EXPECT_LE(crossZonePollers, DisseminationTree::s_headsPerZone * GetParam().zones);
}

INSTANTIATE_TEST_SUITE_P(Fleets, DisseminationTreeTest,
                         testing::Values(FleetSize{1, 1}, FleetSize{2, 1}, FleetSize{3, 3},
                                         FleetSize{4, 1}, FleetSize{6, 3}, FleetSize{7, 3},
                                         FleetSize{65, 4}, FleetSize{66, 3}, FleetSize{300, 3},
                                         FleetSize{1000, 1}, FleetSize{3400, 6}),
                         [](const auto &info) {
                             return std::to_string(info.param.members) + "In"
                                 + std::to_string(info.param.zones);
                         });

TEST(DisseminationTreeExclusionTest, silentSourcesAreReplacedByTheNextMembers)
{
    const std::vector<FleetMember> members = makeMembers({8, 1});
    DisseminationTree tree("host-0");
    tree.setMembers(members);
    std::set<std::string> silenced;
    TimePoint now = start;
    while (!tree.isWatcher(now)) {
        const FleetMember source = tree.sources(now).front();
        EXPECT_TRUE(silenced.insert(source.name).second)
            << "a silent member was polled again at once";
        tree.recordFailure(source.name, 0ms, now);
    }
    EXPECT_LT(silenced.size(), members.size());
    EXPECT_EQ(tree.sources(now + DisseminationTree::s_maxExclusion).empty(), silenced.empty());
}

// Guards against a process that spends most of its time on polls of the same silent members.
TEST(DisseminationTreeExclusionTest, aMemberIsExcludedForLongerThanItsPollTook)
{
    const Fleet fleet({66, 3});
    const auto isPolled
        = [](const DisseminationTree &tree, const std::string &name, TimePoint now) {
              const auto sources = tree.sources(now);
              return std::any_of(sources.begin(), sources.end(),
                                 [&](const FleetMember &source) { return source.name == name; });
          };
    const auto poller = std::find_if(fleet.hops.begin(), fleet.hops.end(),
                                     [](const auto &member) { return member.second == 2; });
    ASSERT_NE(poller, fleet.hops.end());
    for (const Duration pollTime : {Duration(0ms), Duration(400ms), Duration(1200ms)}) {
        DisseminationTree tree(poller->first);
        tree.setMembers(fleet.members);
        const std::string silent = tree.sources(start).front().name;
        tree.recordFailure(silent, pollTime, start);
        EXPECT_FALSE(isPolled(tree, silent, start + 3 * pollTime));
        EXPECT_TRUE(isPolled(tree, silent, start + DisseminationTree::s_maxExclusion));
        tree.recordSuccess(silent);
        EXPECT_TRUE(isPolled(tree, silent, start));
    }
}

TEST(DisseminationTreeExclusionTest, silentHeadsAreReplacedWithinTheirZone)
{
    const Fleet fleet({66, 3});
    std::string poller;
    for (const auto &[name, hops] : fleet.hops) {
        if (hops == 2)
            poller = name;
    }
    ASSERT_FALSE(poller.empty());
    DisseminationTree tree(poller);
    tree.setMembers(fleet.members);
    std::set<std::string> silent;
    for (const FleetMember &head : tree.sources(start)) {
        tree.recordFailure(head.name, 0ms, start);
        silent.insert(head.name);
    }
    for (const FleetMember &source : tree.sources(start)) {
        EXPECT_FALSE(silent.contains(source.name));
        EXPECT_EQ(source.availabilityZone, fleet.zones.at(poller));
    }
}

} // namespace
} // namespace gwt
