#include "membership/Membership.h"

#include <gtest/gtest.h>

#include <set>

namespace gwt {
namespace {

MemberList makeMembers(int count)
{
    MemberList members;
    for (int i = 0; i < count; ++i) {
        Member member;
        member.id = "relay-" + std::to_string(i);
        member.role = Role::Relay;
        member.availabilityZone = "az" + std::to_string(i % 3);
        member.isReady = true;
        members.push_back(std::move(member));
    }
    return members;
}

std::vector<std::string> ownersOfAll(const MemberList &members, int slices)
{
    std::vector<std::string> owners;
    owners.reserve(static_cast<std::size_t>(slices));
    for (int i = 0; i < slices; ++i)
        owners.push_back(ownersOf("slice-" + std::to_string(i), "", Role::Relay, members, 1)[0].id);
    return owners;
}

TEST(OwnershipTest, leavingMemberMovesOnlyItsOwnSlices)
{
    constexpr int slices = 500;
    MemberList members = makeMembers(7);
    const auto before = ownersOfAll(members, slices);
    members[3].state = MemberState::Leaving;
    const auto after = ownersOfAll(members, slices);
    for (int i = 0; i < slices; ++i) {
        if (before[i] != "relay-3") {
            EXPECT_EQ(before[i], after[i]);
        }
        EXPECT_NE(after[i], "relay-3");
    }
}

struct ExclusionCase
{
    std::string name;
    MemberState state;
    bool isReady;
    bool mayOwn;
};

class OwnershipExclusionTest : public testing::TestWithParam<ExclusionCase>
{ };

TEST_P(OwnershipExclusionTest, onlyReadyAliveOrSuspectMembersAreOwners)
{
    MemberList members = makeMembers(1);
    members[0].state = GetParam().state;
    members[0].isReady = GetParam().isReady;
    EXPECT_EQ(ownersOf("s", "", Role::Relay, members, 1).size(), GetParam().mayOwn ? 1U : 0U);
}

INSTANTIATE_TEST_SUITE_P(
    All, OwnershipExclusionTest,
    testing::Values(ExclusionCase{"alive", MemberState::Alive, true, true},
                    ExclusionCase{"suspect", MemberState::Suspect, true, true},
                    ExclusionCase{"leaving", MemberState::Leaving, true, false},
                    ExclusionCase{"dead", MemberState::Dead, true, false},
                    ExclusionCase{"priming", MemberState::Alive, false, false}),
    [](const auto &info) { return info.param.name; });

TEST(OwnershipTest, preferredZoneOwnsItsWeightedShareOfSlices)
{
    const MemberList members = makeMembers(6);
    int preferred = 0;
    for (int i = 0; i < 300; ++i) {
        const auto owners = ownersOf("slice-" + std::to_string(i), "az1", Role::Relay, members, 2);
        ASSERT_EQ(owners.size(), 2U);
        EXPECT_NE(owners[0].id, owners[1].id);
        preferred += owners[0].availabilityZone == "az1" ? 1 : 0;
    }
    // Two of the six members have weight 4, so 8 of 12 shares are expected: 200 of 300.
    EXPECT_GT(preferred, 160);
    EXPECT_LT(preferred, 240);
}

} // namespace
} // namespace gwt
