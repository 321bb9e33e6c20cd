#include "gateway/sharing/MemberReaper.h"

#include <gtest/gtest.h>

#include <functional>
#include <set>

namespace gwt {
namespace {

using namespace std::chrono_literals;

const TimePoint start{1h};

std::vector<FleetMember> makeMembers(std::size_t count)
{
    std::vector<FleetMember> members;
    for (std::size_t i = 0; i < count; ++i) {
        const auto port = static_cast<std::uint16_t>(i + 1);
        members.push_back({"host-" + std::to_string(i), {"127.0.0.1", port}, "north"});
    }
    return members;
}

struct ReaperCase
{
    const char *name;
    std::function<bool(const std::string &, Duration)> answers; ///< member, time since start
    std::set<std::string> removed;
};

class MemberReaperTest : public testing::TestWithParam<ReaperCase>
{ };

TEST_P(MemberReaperTest, onlyPermanentlySilentMembersAreRemoved)
{
    MemberReaper reaper("host-0");
    reaper.setMembers(makeMembers(7));
    std::set<std::string> removed;
    std::set<std::string> probed;
    for (Duration at = 0s; at < 300s; at += 500ms) {
        const auto member = reaper.nextMember(start + at);
        if (!member)
            continue;
        probed.insert(member->name);
        if (reaper.recordProbe(member->name, GetParam().answers(member->name, at), start + at)) {
            EXPECT_GE(at, MemberReaper::s_minSilence);
            removed.insert(member->name);
        }
    }
    EXPECT_EQ(probed.size(), 6U);
    EXPECT_EQ(removed, GetParam().removed);
}

INSTANTIATE_TEST_SUITE_P(
    All, MemberReaperTest,
    testing::Values(
        ReaperCase{"allAnswer", [](const auto &, Duration) { return true; }, {}},
        ReaperCase{
            "oneIsGone", [](const auto &name, Duration) { return name != "host-3"; }, {"host-3"}},
        ReaperCase{"twoAreGone",
                   [](const auto &name, Duration at) {
                       return (name != "host-3" && name != "host-6") || at < 100s;
                   },
                   {"host-3", "host-6"}},
        ReaperCase{"oneIsAwayForAWhile",
                   [](const auto &name, Duration at) {
                       return name != "host-3" || at < 100s || at > 145s;
                   },
                   {}},
        ReaperCase{"thisProcessIsCutOff", [](const auto &, Duration) { return false; }, {}}),
    [](const auto &info) { return std::string(info.param.name); });

// Guards against an exception that ends the process when the probe of a member fails after the
// member was removed.
TEST(MemberReaperRemovalTest, ignoresTheProbeOfARemovedMember)
{
    MemberReaper reaper("host-0");
    reaper.setMembers(makeMembers(3));
    const auto probed = reaper.nextMember(start);
    ASSERT_TRUE(probed);
    auto others = makeMembers(3);
    std::erase_if(others, [&](const auto &member) { return member.name == probed->name; });
    reaper.setMembers(others);
    EXPECT_FALSE(reaper.recordProbe(probed->name, false, start + 1s));
    for (Duration at = 2s; at < 60s; at += 1s) {
        const auto next = reaper.nextMember(start + at);
        EXPECT_TRUE(!next || next->name != probed->name);
    }
}

} // namespace
} // namespace gwt
