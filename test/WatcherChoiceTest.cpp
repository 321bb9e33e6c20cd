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

struct ChoiceCase
{
    std::string name;
    MemberList members;
    std::size_t count;
    std::vector<std::string> candidates; ///< count of these are watchers, or all if there are fewer
};

class WatcherChoiceTest : public testing::TestWithParam<ChoiceCase>
{ };

TEST_P(WatcherChoiceTest, watchersAreServingMembersOfTheZone)
{
    const ChoiceCase &chosen = GetParam();
    const std::vector<std::string> ids = idsOf(watchersOf("az1", chosen.members, chosen.count));
    EXPECT_EQ(ids.size(), std::min(chosen.count, chosen.candidates.size()));
    for (const std::string &id : ids) {
        EXPECT_TRUE(std::count(chosen.candidates.begin(), chosen.candidates.end(), id)) << id;
        EXPECT_TRUE(isWatcher(id, "az1", chosen.members, chosen.count));
    }
    for (const Member &member : chosen.members) {
        const bool isChosen = std::count(ids.begin(), ids.end(), member.id) > 0;
        EXPECT_EQ(isWatcher(member.id, "az1", chosen.members, chosen.count), isChosen);
    }
}

INSTANTIATE_TEST_SUITE_P(
    All, WatcherChoiceTest,
    testing::Values(
        ChoiceCase{"none", {}, watchersPerZone, {}},
        ChoiceCase{"one", {memberOf("a", "az1")}, watchersPerZone, {"a"}},
        ChoiceCase{"countZero", {memberOf("a", "az1")}, 0, {}},
        ChoiceCase{"otherZones", {memberOf("a", "az2"), memberOf("b", "az3")}, 2, {}},
        ChoiceCase{"suspectsStay",
                   {memberOf("a", "az1", MemberState::Suspect), memberOf("b", "az2")},
                   watchersPerZone,
                   {"a"}},
        ChoiceCase{"leavingAndDeadDoNot",
                   {memberOf("a", "az1", MemberState::Leaving),
                    memberOf("b", "az1", MemberState::Dead), memberOf("c", "az1")},
                   watchersPerZone,
                   {"c"}},
        ChoiceCase{"manyMembers",
                   zoneOf(6),
                   watchersPerZone,
                   {"daemon-0", "daemon-1", "daemon-2", "daemon-3", "daemon-4", "daemon-5"}},
        ChoiceCase{"moreThanThereAre", zoneOf(3), 1000, {"daemon-0", "daemon-1", "daemon-2"}}),
    [](const auto &info) { return info.param.name; });

TEST(WatcherStabilityTest, aMemberThatGoesMovesNoWatchButItsOwn)
{
    const MemberList members = zoneOf(30);
    const std::vector<std::string> before = idsOf(watchersOf("az1", members, watchersPerZone));
    for (const Member &gone : members) {
        MemberList rest;
        std::copy_if(members.begin(), members.end(), std::back_inserter(rest),
                     [&](const Member &member) { return member.id != gone.id; });
        const std::vector<std::string> after = idsOf(watchersOf("az1", rest, watchersPerZone));
        for (const std::string &id : before) {
            const bool isKept = std::count(after.begin(), after.end(), id) > 0;
            EXPECT_TRUE(isKept || id == gone.id) << id << ", " << gone.id;
        }
        EXPECT_EQ(after.size(), watchersPerZone);
    }
}

TEST(WatcherStabilityTest, theOrderOfMembersDoesNotMatter)
{
    MemberList members = zoneOf(12);
    const std::vector<std::string> before = idsOf(watchersOf("az1", members, watchersPerZone));
    std::reverse(members.begin(), members.end());
    EXPECT_EQ(idsOf(watchersOf("az1", members, watchersPerZone)), before);
}

} // namespace
} // namespace gwt
