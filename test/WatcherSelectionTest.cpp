#include "distribution/Distribution.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace gwt {
namespace {

constexpr std::size_t watchersPerZone = 2;

Member memberOf(const std::string &id, const std::string &zone,
                MemberState state = MemberState::Alive)
{
    Member member;
    member.id = id;
    member.availabilityZone = zone;
    member.state = state;
    return member;
}

MemberList zoneOf(int count)
{
    MemberList members;
    for (int i = 0; i < count; ++i)
        members.push_back(memberOf("daemon-" + std::to_string(i), "az1"));
    return members;
}

std::vector<std::string> idsOf(const MemberList &members)
{
    std::vector<std::string> ids;
    for (const Member &member : members)
        ids.push_back(member.id);
    std::sort(ids.begin(), ids.end());
    return ids;
}

struct SelectionCase
{
    std::string name;
    MemberList members;
    std::size_t count;
    std::vector<std::string> candidates; ///< count of these are watchers, or all if there are fewer
};

class WatcherSelectionTest : public testing::TestWithParam<SelectionCase>
{ };

TEST_P(WatcherSelectionTest, selectsServingMembersOfZone)
{
    const SelectionCase &selection = GetParam();
    const std::vector<std::string> ids
        = idsOf(selectWatchers("az1", selection.members, selection.count));
    EXPECT_EQ(ids.size(), std::min(selection.count, selection.candidates.size()));
    for (const std::string &id : ids) {
        EXPECT_TRUE(std::count(selection.candidates.begin(), selection.candidates.end(), id)) << id;
        EXPECT_TRUE(isWatcher(id, "az1", selection.members, selection.count));
    }
    for (const Member &member : selection.members) {
        const bool isSelected = std::count(ids.begin(), ids.end(), member.id) > 0;
        EXPECT_EQ(isWatcher(member.id, "az1", selection.members, selection.count), isSelected);
    }
}

INSTANTIATE_TEST_SUITE_P(
    All, WatcherSelectionTest,
    testing::Values(
        SelectionCase{"none", {}, watchersPerZone, {}},
        SelectionCase{"one", {memberOf("a", "az1")}, watchersPerZone, {"a"}},
        SelectionCase{"countZero", {memberOf("a", "az1")}, 0, {}},
        SelectionCase{"otherZones", {memberOf("a", "az2"), memberOf("b", "az3")}, 2, {}},
        SelectionCase{"suspectsAreEligible",
                      {memberOf("a", "az1", MemberState::Suspect), memberOf("b", "az2")},
                      watchersPerZone,
                      {"a"}},
        SelectionCase{"leavingAndDeadAreNotEligible",
                      {memberOf("a", "az1", MemberState::Leaving),
                       memberOf("b", "az1", MemberState::Dead), memberOf("c", "az1")},
                      watchersPerZone,
                      {"c"}},
        SelectionCase{"manyMembers",
                      zoneOf(6),
                      watchersPerZone,
                      {"daemon-0", "daemon-1", "daemon-2", "daemon-3", "daemon-4", "daemon-5"}},
        SelectionCase{"countAboveMembers", zoneOf(3), 1000, {"daemon-0", "daemon-1", "daemon-2"}}),
    [](const auto &info) { return info.param.name; });

TEST(WatcherStabilityTest, removedMemberChangesOnlyItsOwnWatch)
{
    const MemberList members = zoneOf(30);
    const std::vector<std::string> before = idsOf(selectWatchers("az1", members, watchersPerZone));
    for (const Member &removed : members) {
        MemberList remaining;
        std::copy_if(members.begin(), members.end(), std::back_inserter(remaining),
                     [&](const Member &member) { return member.id != removed.id; });
        const std::vector<std::string> after
            = idsOf(selectWatchers("az1", remaining, watchersPerZone));
        for (const std::string &id : before) {
            const bool isKept = std::count(after.begin(), after.end(), id) > 0;
            EXPECT_TRUE(isKept || id == removed.id) << id << ", " << removed.id;
        }
        EXPECT_EQ(after.size(), watchersPerZone);
    }
}

TEST(WatcherStabilityTest, selectionIgnoresMemberOrder)
{
    MemberList members = zoneOf(12);
    const std::vector<std::string> before = idsOf(selectWatchers("az1", members, watchersPerZone));
    std::reverse(members.begin(), members.end());
    EXPECT_EQ(idsOf(selectWatchers("az1", members, watchersPerZone)), before);
}

} // namespace
} // namespace gwt
