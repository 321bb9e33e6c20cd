#include "relay/RelayOptions.h"

#include <gmock/gmock.h>

namespace gwt {
namespace {

struct OptionCase
{
    const char *name;
    const char *setting;
    bool (*holds)(const RelayOptions &); ///< true with the setting and false without it
};

class RelayOptionsTest : public testing::TestWithParam<OptionCase>
{
protected:
    static Settings parse(const std::string &text)
    {
        auto outcome = Settings::fromText(text, "relay.toml");
        EXPECT_TRUE(isOk(outcome));
        return std::move(valueOf(outcome));
    }
};

TEST_P(RelayOptionsTest, settingChangesTheNamedOption)
{
    Settings settings = parse("[relay]\n" + std::string(GetParam().setting) + "\n");
    EXPECT_TRUE(GetParam().holds(RelayOptions::read(settings)));
    EXPECT_TRUE(settings.faults().empty());
    Settings none = parse("");
    EXPECT_FALSE(GetParam().holds(RelayOptions::read(none)));
}

INSTANTIATE_TEST_SUITE_P(
    All, RelayOptionsTest,
    testing::Values(OptionCase{"queue", "queue = \"fifo\"",
                               [](const RelayOptions &o) { return o.queue == QueueOrder::Fifo; }},
                    OptionCase{
                        "picker", "picker = \"random\"",
                        [](const RelayOptions &o) { return o.picker == ReplicaPicker::Random; }},
                    OptionCase{"hedging", "hedging = false",
                               [](const RelayOptions &o) { return !o.hedging.isEnabled; }},
                    OptionCase{"ejection", "ejection = false",
                               [](const RelayOptions &o) { return !o.ejection.isEnabled; }},
                    OptionCase{"extraLoadShare", "extra_load_share = 0.02",
                               [](const RelayOptions &o) { return o.extraLoadShare == 0.02; }}),
    [](const auto &info) { return std::string(info.param.name); });

class RelayOptionsFaultTest : public RelayOptionsTest
{ };

TEST_P(RelayOptionsFaultTest, invalidValueIsReportedWithItsSetting)
{
    Settings settings = parse("[relay]\n" + std::string(GetParam().setting) + "\n");
    RelayOptions::read(settings);
    ASSERT_EQ(settings.faults().size(), 1U);
    EXPECT_THAT(settings.faults().front(),
                testing::HasSubstr("relay." + std::string(GetParam().name)));
}

INSTANTIATE_TEST_SUITE_P(All, RelayOptionsFaultTest,
                         testing::Values(OptionCase{"queue", "queue = \"lifo\"", nullptr},
                                         OptionCase{"picker", "picker = \"nearest\"", nullptr},
                                         OptionCase{"hedging", "hedging = 1", nullptr},
                                         OptionCase{"ejection", "ejection = \"no\"", nullptr},
                                         OptionCase{"extra_load_share", "extra_load_share = 1.5",
                                                    nullptr}),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
} // namespace gwt
