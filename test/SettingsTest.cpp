#include "common/Settings.h"

#include <gmock/gmock.h>

namespace gwt {
namespace {

struct FaultCase
{
    std::string name;
    std::string text;
    std::string fault; ///< must be part of the only fault
};

class SettingsFaultTest : public testing::TestWithParam<FaultCase>
{ };

TEST_P(SettingsFaultTest, namesFileLineKeyAndAllowedValues)
{
    auto outcome = Settings::fromText(GetParam().text, "x.toml");
    ASSERT_TRUE(isOk(outcome));
    Settings &settings = valueOf(outcome);
    settings.text("daemon.name");
    settings.choice("daemon.log_level", "info", {"debug", "info"});
    settings.integer("daemon.workers", 2, 1, 8);
    settings.duration("daemon.wait_ms", Milliseconds(5), Milliseconds(0), Milliseconds(10));
    settings.endpoint("daemon.admin");
    ASSERT_EQ(settings.faults().size(), 1U);
    EXPECT_THAT(settings.faults().front(), testing::HasSubstr(GetParam().fault));
}

const std::string validSettings = "[daemon]\nname = \"a\"\nadmin = \"127.0.0.1:1\"\n";

INSTANTIATE_TEST_SUITE_P(
    All, SettingsFaultTest,
    testing::Values(FaultCase{"missing", "[daemon]\nadmin = \"127.0.0.1:1\"\n",
                              "x.toml: daemon.name: is required"},
                    FaultCase{"choice", validSettings + "log_level = \"loud\"\n",
                              "x.toml:4: daemon.log_level: \"loud\" is not one of: debug, info"},
                    FaultCase{"range", validSettings + "workers = 9\n",
                              "x.toml:4: daemon.workers: must be a whole number from 1 to 8"},
                    FaultCase{"type", validSettings + "wait_ms = \"5\"\n",
                              "x.toml:4: daemon.wait_ms: must be a whole number from 0 to 10"},
                    FaultCase{"unknown", validSettings + "wrokers = 3\n",
                              "x.toml:4: daemon.wrokers: unknown key; allowed here: daemon.admin, "
                              "daemon.log_level, daemon.name, daemon.wait_ms, daemon.workers"},
                    FaultCase{"endpoint", "[daemon]\nname = \"a\"\nadmin = \"localhost:1\"\n",
                              "x.toml:3: daemon.admin: must be a string of the form IP:PORT"}),
    [](const auto &info) { return info.param.name; });

TEST(SettingsTest, syntaxErrorNamesTheLine)
{
    const auto outcome = Settings::fromText("a = 1\nb = = 2\n", "y.toml");
    ASSERT_FALSE(isOk(outcome));
    EXPECT_THAT(errorOf(outcome).detail, testing::StartsWith("y.toml:2: "));
}

TEST(SettingsTest, nonAsciiIsAllowedOnlyInStringsAndComments)
{
    const auto quoted = Settings::fromText("# sert\xC3\xA3o\na = \"sert\xC3\xA3o\"\n", "z.toml");
    EXPECT_TRUE(isOk(quoted));
    const auto bare = Settings::fromText("a = 1\nsert\xC3\xA3o = 1\n", "z.toml");
    ASSERT_FALSE(isOk(bare));
    EXPECT_EQ(errorOf(bare).detail,
              "z.toml:2: non-ASCII characters are allowed only in quoted strings and comments");
}

} // namespace
} // namespace gwt
