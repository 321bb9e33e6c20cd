#include "platform/BackendDecoder.h"
#include "platform/HostDecoder.h"
#include "platform/JsonFields.h"
#include "platform/KeyMapping.h"
#include "platform/PlatformSettings.h"
#include "platform/SettingsWatch.h"
#include "platform/StoreCodec.h"

#include <gtest/gtest.h>

#include <unistd.h>

#include <fstream>
#include <limits>

namespace gwt::platform {
namespace {

using namespace std::chrono_literals;

boost::json::object goodEntry()
{
    return {{"service", "s"},       {"address", "10.0.0.1:80"}, {"zone", "z"}, {"version", "v1"},
            {"slots", 2},           {"state", "ready"},         {"seq", 4},    {"warmupLeftMs", 0},
            {"born", 1700000000000}};
}

std::optional<BackendEntry> decode(const boost::json::value &spec)
{
    return decodeBackend({"i-1", 3, spec});
}

TEST(BackendDecoderTest, decodesCompleteEntry)
{
    const auto entry = decode(goodEntry());
    ASSERT_TRUE(entry);
    EXPECT_EQ(entry->id, "i-1");
    EXPECT_EQ(entry->service, "s");
    EXPECT_EQ(entry->address, (Endpoint{"10.0.0.1", 80}));
    EXPECT_EQ(entry->slots, 2);
    EXPECT_FALSE(entry->isDraining);
    EXPECT_EQ(entry->incarnation, 1700000000000);
}

struct InvalidFieldCase
{
    std::string name;
    std::string key;
    boost::json::value value; ///< null removes the key
};

class InvalidEntryTest : public testing::TestWithParam<InvalidFieldCase>
{ };

TEST_P(InvalidEntryTest, rejectsEntryWithInvalidField)
{
    boost::json::object spec = goodEntry();
    if (GetParam().value.is_null())
        spec.erase(GetParam().key);
    else
        spec[GetParam().key] = GetParam().value;
    EXPECT_FALSE(decode(spec));
}

INSTANTIATE_TEST_SUITE_P(
    Fields, InvalidEntryTest,
    testing::Values(InvalidFieldCase{"noService", "service", nullptr},
                    InvalidFieldCase{"serviceIsNumber", "service", 5},
                    InvalidFieldCase{"noAddress", "address", nullptr},
                    InvalidFieldCase{"addressIsName", "address", "host:80"},
                    InvalidFieldCase{"addressWithoutPort", "address", "10.0.0.1"},
                    InvalidFieldCase{"noZone", "zone", nullptr},
                    InvalidFieldCase{"noSlots", "slots", nullptr},
                    InvalidFieldCase{"slotsIsText", "slots", "2"},
                    InvalidFieldCase{"negativeSlots", "slots", -1},
                    InvalidFieldCase{"noState", "state", nullptr},
                    InvalidFieldCase{"unknownState", "state", "gone"},
                    InvalidFieldCase{"stateIsList", "state", boost::json::array{"ready"}}),
    [](const auto &info) { return info.param.name; });

constexpr std::int64_t aboveInt = std::int64_t(1) << 32U; // zero as an int

TEST(BackendDecoderTest, capsNumbersOutOfRange)
{
    boost::json::object spec = goodEntry();
    spec["slots"] = aboveInt;
    spec["warmupLeftMs"] = std::numeric_limits<std::int64_t>::max();
    const auto entry = decode(spec);
    ASSERT_TRUE(entry);
    EXPECT_EQ(entry->slots, maxCount);
    EXPECT_GT(Clock::now() + entry->warmupLeft, Clock::now());
}

class InvalidSpecTest : public testing::TestWithParam<std::string>
{ };

TEST_P(InvalidSpecTest, rejectsSpecThatIsNoEntry)
{
    EXPECT_FALSE(decode(boost::json::parse(GetParam())));
}

INSTANTIATE_TEST_SUITE_P(Values, InvalidSpecTest,
                         testing::Values("null", "[]", "{}", "\"text\"", "7", "true"));

struct HostCase
{
    std::string name;
    std::string spec;
    std::optional<HostState> state; ///< nullopt: the entry cannot be decoded
};

class HostDecoderTest : public testing::TestWithParam<HostCase>
{ };

TEST_P(HostDecoderTest, decodesOrRejectsEntry)
{
    const auto host = decodeHost({"h", 3, boost::json::parse(GetParam().spec)});
    ASSERT_EQ(host.has_value(), GetParam().state.has_value());
    if (host) {
        EXPECT_EQ(host->name, "h");
        EXPECT_EQ(host->state, *GetParam().state);
    }
}

INSTANTIATE_TEST_SUITE_P(
    Entries, HostDecoderTest,
    testing::Values(
        HostCase{"live", R"({"address":"10.0.0.1","state":"live"})", HostState::Live},
        HostCase{"leaving", R"({"address":"10.0.0.1","state":"leaving"})", HostState::Leaving},
        HostCase{"stateIsNumber", R"({"address":"10.0.0.1","state":7})", HostState::Live},
        HostCase{"noAddress", R"({"state":"live"})", std::nullopt},
        HostCase{"addressIsList", R"({"address":["10.0.0.1"]})", std::nullopt},
        HostCase{"null", "null", std::nullopt}, HostCase{"text", "\"h\"", std::nullopt}),
    [](const auto &info) { return info.param.name; });

struct StoredValueCase
{
    std::string name;
    std::string spec;
    std::optional<std::string> value; ///< nullopt: not written by encodeValue()
};

class StoredValueTest : public testing::TestWithParam<StoredValueCase>
{ };

TEST_P(StoredValueTest, decodesOnlyEncodedValues)
{
    EXPECT_EQ(decodeValue(boost::json::parse(GetParam().spec)), GetParam().value);
}

INSTANTIATE_TEST_SUITE_P(Specs, StoredValueTest,
                         testing::Values(StoredValueCase{"whole", R"({"value":"QUJD"})", "ABC"},
                                         StoredValueCase{"padded", R"({"value":"QUI="})", "AB"},
                                         StoredValueCase{"empty", R"({"value":""})", ""},
                                         StoredValueCase{"cut", R"({"value":"QUI"})", std::nullopt},
                                         StoredValueCase{"notBase64", R"({"value":"QU*D"})",
                                                         std::nullopt},
                                         StoredValueCase{"number", R"({"value":7})", std::nullopt},
                                         StoredValueCase{"missing", "{}", std::nullopt},
                                         StoredValueCase{"null", "null", std::nullopt}),
                         [](const auto &info) { return info.param.name; });

TEST(StoreCodecTest, skipsInvalidObjectsOfAPage)
{
    const auto page = decodePage("{\"items\":[5,{\"meta\":{}},{\"meta\":{\"name\":\"a\"},"
                                 "\"spec\":\"\xff\xfe\"}],\"more\":true,\"asOf\":9}");
    ASSERT_TRUE(isOk(page));
    ASSERT_EQ(valueOf(page).listing.objects.size(), 1U);
    EXPECT_EQ(valueOf(page).listing.objects[0].name, "a");
    EXPECT_EQ(valueOf(page).listing.asOf, 9U);
    EXPECT_TRUE(valueOf(page).hasMore);
}

class MalformedBodyTest : public testing::TestWithParam<std::string>
{ };

TEST_P(MalformedBodyTest, isAnErrorInsteadOfAnEmptyListing)
{
    EXPECT_FALSE(isOk(decodePage(GetParam())));
    EXPECT_FALSE(isOk(decodeChanges(GetParam())));
}

INSTANTIATE_TEST_SUITE_P(Bodies, MalformedBodyTest,
                         testing::Values("", "{", "[]", "7", "{}", "{\"items\":{}}",
                                         "{\"events\":7}", "<html>"));

const std::string goodSettings = R"(
nodeName = "front-1"
zone = "z"
portRange = [7380, 7395]
seedNodes = ["10.0.0.2:90"]
[listen]
front = "10.0.0.1:80"
ready = "10.0.0.1:81"
controlPlane = "10.0.0.1:90"
[bounds]
graceS = 6
drainMs = 3000
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetExtra = 54
configApplyMs = 5000
[platform]
address = "10.0.0.9:82"
readsPerS = 2000
[future]
key = 1
)";

TEST(PlatformSettingsTest, readsKnownKeysAndIgnoresOthers)
{
    const auto parsed = parsePlatformSettings(goodSettings, "node.toml");
    ASSERT_TRUE(isOk(parsed)) << errorOf(parsed).detail;
    EXPECT_EQ(valueOf(parsed).hostName, "front-1");
    EXPECT_EQ(valueOf(parsed).callers, (Endpoint{"10.0.0.1", 80}));
    EXPECT_EQ(valueOf(parsed).seeds, std::vector<Endpoint>{Endpoint("10.0.0.2", 90)});
    EXPECT_EQ(valueOf(parsed).retryBudgetExtra, 54);
    EXPECT_EQ(valueOf(parsed).shutdownGrace, 6s);
    EXPECT_EQ(valueOf(parsed).updateLimit, 5s);
}

TEST(PlatformSettingsTest, theUpdateLimitMayBeMissing)
{
    std::string text = goodSettings;
    const std::string line = "configApplyMs = 5000\n";
    text.replace(text.find(line), line.size(), "");
    const auto parsed = parsePlatformSettings(text, "node.toml");
    ASSERT_TRUE(isOk(parsed)) << errorOf(parsed).detail;
    EXPECT_EQ(valueOf(parsed).updateLimit, 3s);
}

struct PoliciesCase
{
    std::string name;
    std::string line; ///< at the start of the file
    bool hasEvacuations;
};

class PoliciesTest : public testing::TestWithParam<PoliciesCase>
{ };

// Guards against store calls in deployments that have no evacuations, and against a process that
// does not start because of a list that it does not know.
TEST_P(PoliciesTest, placesAsksForEvacuations)
{
    const auto parsed = parsePlatformSettings(GetParam().line + goodSettings, "node.toml");
    ASSERT_TRUE(isOk(parsed)) << errorOf(parsed).detail;
    EXPECT_EQ(valueOf(parsed).hasEvacuations, GetParam().hasEvacuations);
}

INSTANTIATE_TEST_SUITE_P(Lists, PoliciesTest,
                         testing::Values(PoliciesCase{"missing", "", false},
                                         PoliciesCase{"empty", "policies = []\n", false},
                                         PoliciesCase{"others", "policies = [\"a\", 5]\n", false},
                                         PoliciesCase{"places", "policies = [\"a\", \"places\"]\n",
                                                      true},
                                         PoliciesCase{"noList", "policies = \"places\"\n", false}),
                         [](const auto &info) { return info.param.name; });

struct FractionCase
{
    std::string name;
    std::string from;
    std::string to;
    Milliseconds PlatformSettings::*setting;
    Milliseconds expected;
};

class FractionalSettingsTest : public testing::TestWithParam<FractionCase>
{ };

// Guards against bounds with a fraction, which the platform allows, that keep a process from
// starting.
TEST_P(FractionalSettingsTest, areRead)
{
    std::string text = goodSettings;
    text.replace(text.find(GetParam().from), GetParam().from.size(), GetParam().to);
    const auto parsed = parsePlatformSettings(text, "node.toml");
    ASSERT_TRUE(isOk(parsed)) << errorOf(parsed).detail;
    EXPECT_EQ(valueOf(parsed).*GetParam().setting, GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    Bounds, FractionalSettingsTest,
    testing::Values(FractionCase{"grace", "graceS = 6", "graceS = 5.5",
                                 &PlatformSettings::shutdownGrace, 5500ms},
                    FractionCase{"window", "budgetWindowS = 10", "budgetWindowS = 2.25",
                                 &PlatformSettings::retryBudgetWindow, 2250ms},
                    FractionCase{"timeToApply", "configApplyMs = 5000", "configApplyMs = 2999.6",
                                 &PlatformSettings::updateLimit, 3000ms}),
    [](const auto &info) { return info.param.name; });

struct SettingsCase
{
    std::string name;
    std::string from;
    std::string to;
    std::string expectedDetail;
};

class BadSettingsTest : public testing::TestWithParam<SettingsCase>
{ };

TEST_P(BadSettingsTest, errorNamesFileAndKey)
{
    std::string text = goodSettings;
    text.replace(text.find(GetParam().from), GetParam().from.size(), GetParam().to);
    const auto parsed = parsePlatformSettings(text, "node.toml");
    ASSERT_FALSE(isOk(parsed));
    EXPECT_EQ(errorOf(parsed).detail, GetParam().expectedDetail);
}

INSTANTIATE_TEST_SUITE_P(
    Keys, BadSettingsTest,
    testing::Values(
        SettingsCase{"noName", "nodeName = \"front-1\"", "",
                     "node.toml: nodeName: expected a text"},
        SettingsCase{"badAddress", "10.0.0.1:80\"", "front:80\"",
                     "node.toml: listen.front: expected IP:PORT"},
        SettingsCase{"badSeed", "[\"10.0.0.2:90\"]", "[5]",
                     "node.toml: seedNodes: expected a list of IP:PORT"},
        SettingsCase{"textForNumber", "retryBudgetRatio = 0.2", "retryBudgetRatio = \"a\"",
                     "node.toml: bounds.retryBudgetRatio: expected a number from 0 to 1000000000"},
        SettingsCase{"negative", "graceS = 6", "graceS = -1",
                     "node.toml: bounds.graceS: expected seconds from 1 to 3600"},
        SettingsCase{"noGrace", "graceS = 6", "graceS = 0",
                     "node.toml: bounds.graceS: expected seconds from 1 to 3600"},
        SettingsCase{"noWindow", "budgetWindowS = 10", "budgetWindowS = 0",
                     "node.toml: bounds.budgetWindowS: expected seconds from 1 to 3600"},
        SettingsCase{"longWindow", "budgetWindowS = 10", "budgetWindowS = 9223372036854775807",
                     "node.toml: bounds.budgetWindowS: expected seconds from 1 to 3600"},
        SettingsCase{"noTimeToApply", "configApplyMs = 5000", "configApplyMs = 0",
                     "node.toml: bounds.configApplyMs: expected milliseconds from 500 to "
                     "3600000"},
        SettingsCase{"noNumber", "retryBudgetExtra = 54", "retryBudgetExtra = nan",
                     "node.toml: bounds.retryBudgetExtra: expected a number from 0 to 1000000000"}),
    [](const auto &info) { return info.param.name; });

struct ReloadCase
{
    std::string name;
    std::string from;
    std::string to;
    std::vector<double> expectedExtras; ///< values of retryBudgetExtra passed to the handler
};

class SettingsWatchTest : public testing::TestWithParam<ReloadCase>
{
protected:
    SettingsWatchTest()
        : m_path(std::filesystem::temp_directory_path()
                 / ("gwt-settings-" + std::to_string(::getpid()) + ".toml"))
    {
        write(goodSettings);
    }
    ~SettingsWatchTest() override { std::filesystem::remove(m_path); }
    void write(const std::string &text) const { std::ofstream(m_path) << text; }

    const std::filesystem::path m_path;
};

TEST_P(SettingsWatchTest, appliesBoundsAtOnceIfFileIsValid)
{
    boost::asio::io_context context;
    TimerQueue timers(context);
    std::vector<double> reported;
    SettingsWatch watch(
        timers, m_path, valueOf(readPlatformSettings(m_path)),
        [&](const PlatformSettings &changed) { reported.push_back(changed.retryBudgetExtra); });
    std::string text = goodSettings;
    text.replace(text.find(GetParam().from), GetParam().from.size(), GetParam().to);
    write(text);
    watch.reload();
    watch.reload();
    EXPECT_EQ(reported, GetParam().expectedExtras);
}

INSTANTIATE_TEST_SUITE_P(
    Changes, SettingsWatchTest,
    testing::Values(ReloadCase{"none", "10", "10", {}},
                    ReloadCase{"aBound", "retryBudgetExtra = 54", "retryBudgetExtra = 60", {60}},
                    ReloadCase{"anAddress", "10.0.0.1:80", "10.0.0.1:99", {}},
                    ReloadCase{"aFault", "retryBudgetExtra = 54", "retryBudgetExtra = -1", {}},
                    ReloadCase{"aForeignKey", "key = 1", "key = 2", {}}),
    [](const auto &info) { return info.param.name; });

} // namespace
} // namespace gwt::platform
