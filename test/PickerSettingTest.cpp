#include "platform/PlatformSettings.h"

#include <gtest/gtest.h>

namespace {

using gwt::PickerKind;

constexpr const char *settingsText = R"(
nodeName = "front-1"
zone = "z1"
[listen]
front = "10.0.0.1:80"
ready = "10.0.0.1:81"
controlPlane = "10.0.0.1:90"
[platform]
address = "10.0.0.9:82"
[bounds]
retryBudgetRatio = 0.1
retryBudgetExtra = 1
budgetWindowS = 10
graceS = 6
[routing]
)";

struct PickerSetting
{
    const char *line;
    std::optional<PickerKind> picker; ///< none: an error
};

class PickerSettingTest : public testing::TestWithParam<PickerSetting>
{ };

// Guards against a misspelt picker that silently has another one used.
TEST_P(PickerSettingTest, isLatencyUnlessNamed)
{
    const std::string text = std::string(settingsText) + GetParam().line;
    const auto parsed = gwt::platform::parsePlatformSettings(text, "node.toml");
    ASSERT_EQ(gwt::isOk(parsed), GetParam().picker.has_value());
    if (!GetParam().picker)
        return;
    EXPECT_EQ(gwt::valueOf(parsed).picker, *GetParam().picker);
}

INSTANTIATE_TEST_SUITE_P(Pickers, PickerSettingTest,
                         testing::Values(PickerSetting{"", PickerKind::Latency},
                                         PickerSetting{"picker = \"latency\"", PickerKind::Latency},
                                         PickerSetting{"picker = \"work_left\"",
                                                       PickerKind::WorkLeft},
                                         PickerSetting{"picker = \"work-left\"", std::nullopt},
                                         PickerSetting{"picker = 1", std::nullopt}));

} // namespace
