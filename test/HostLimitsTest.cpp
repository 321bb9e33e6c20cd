#include "platform/PlatformSettings.h"

#include <gtest/gtest.h>

namespace gwt::platform {
namespace {

const std::string settingsWithoutLimits = R"(
nodeName = "front-1"
zone = "z"
[listen]
front = "10.0.0.1:80"
ready = "10.0.0.1:81"
controlPlane = "10.0.0.1:90"
[bounds]
graceS = 6
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetExtra = 54
[platform]
address = "10.0.0.9:82"
)";

struct HostLimitsCase
{
    std::string name;
    std::string limits; ///< lines added to the settings
    std::optional<HostLimits> expected; ///< without a value the settings are refused
};

class HostLimitsTest : public testing::TestWithParam<HostLimitsCase>
{ };

/// Guards against a start that fails where the platform sets no limits, or only one of them.
TEST_P(HostLimitsTest, areReadOrDefault)
{
    const auto parsed
        = parsePlatformSettings(settingsWithoutLimits + GetParam().limits, "node.toml");
    ASSERT_EQ(isOk(parsed), GetParam().expected.has_value());
    if (isOk(parsed))
        EXPECT_EQ(valueOf(parsed).hostLimits, *GetParam().expected);
    else
        EXPECT_EQ(errorOf(parsed).detail,
                  "node.toml: limits.memoryMb: expected a number from 1 to 1000000000");
}

INSTANTIATE_TEST_SUITE_P(
    Limits, HostLimitsTest,
    testing::Values(
        HostLimitsCase{"none", "", HostLimits{256, 0}},
        HostLimitsCase{"both", "[limits]\nmemoryMb = 160\nmaxFds = 4100\n", HostLimits{160, 4100}},
        HostLimitsCase{"memoryOnly", "[limits]\nmemoryMb = 512.5\n", HostLimits{512, 0}},
        HostLimitsCase{"othersOnly", "[limits]\ncpu = 0.12\n", HostLimits{256, 0}},
        HostLimitsCase{"noMemory", "[limits]\nmemoryMb = 0\n", std::nullopt}),
    [](const auto &info) { return info.param.name; });

} // namespace
} // namespace gwt::platform
