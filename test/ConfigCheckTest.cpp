#include "common/Random.h"
#include "control/Control.h"

#include <gmock/gmock.h>

#include <filesystem>
#include <fstream>

namespace gwt {
namespace {

const std::string validSetText = R"(
[place.az1]
region = "sertao-ne"
availability_zone = "az1"

[service.pots-1]
index = "pots"

[backend-server.pots-1-a]
service = "pots-1"
place = "az1"
address = "127.0.0.1:9000"
slots = 2
connections = 25

[rank.urgent]
target_ms = 200
worth = 10
floor_share = 0.3
)";

std::vector<std::string> faultsOf(const std::string &text)
{
    ParsedConfig parsed;
    parseConfigText(text, "set.toml", parsed);
    const auto checkFaults = checkConfig(parsed.set, parsed.origins);
    parsed.faults.insert(parsed.faults.end(), checkFaults.begin(), checkFaults.end());
    std::vector<std::string> lines;
    for (const ConfigFault &fault : parsed.faults)
        lines.push_back(toString(fault));
    return lines;
}

struct FaultCase
{
    std::string name;
    std::string replace;
    std::string replacement;
    std::string fault;
};

class ConfigFaultTest : public testing::TestWithParam<FaultCase>
{ };

TEST_P(ConfigFaultTest, reportsFileLineObjectAndField)
{
    std::string text = validSetText;
    const auto at = text.find(GetParam().replace);
    ASSERT_NE(at, std::string::npos);
    text.replace(at, GetParam().replace.size(), GetParam().replacement);
    EXPECT_THAT(faultsOf(text), testing::Contains(testing::HasSubstr(GetParam().fault)));
}

INSTANTIATE_TEST_SUITE_P(
    All, ConfigFaultTest,
    testing::Values(
        FaultCase{"dangling", "service = \"pots-1\"", "service = \"pots-2\"",
                  "set.toml:10: backend-server pots-1-a: service: no service is named "
                  "\"pots-2\"; did you mean \"pots-1\"?"},
        FaultCase{"missing", "slots = 2\n", "",
                  "set.toml:9: backend-server pots-1-a: slots: is required"},
        FaultCase{"range", "floor_share = 0.3", "floor_share = 1.3",
                  "set.toml:19: rank urgent: floor_share: must be a number from 0 to 1"},
        FaultCase{"unknown", "worth = 10", "price = 10",
                  "set.toml:18: rank urgent: price: unknown field; allowed: "},
        FaultCase{"misspelt", "slots = 2", "slot = 2",
                  "set.toml:13: backend-server pots-1-a: slot: unknown field; did you "
                  "mean \"slots\"?"},
        FaultCase{"connections", "connections = 25", "connections = 1",
                  "connections: must not be less than slots (2)"},
        FaultCase{"kind", "[rank.urgent]", "[rnak.urgent]", "unknown kind; did you mean \"rank\"?"},
        FaultCase{"address", "127.0.0.1:9000", "pots:9000",
                  "backend-server pots-1-a: address: must be of the form IP:PORT"}),
    [](const auto &info) { return info.param.name; });

TEST(ConfigCheckTest, validSetHasNoFaults)
{
    EXPECT_THAT(faultsOf(validSetText), testing::IsEmpty());
}

TEST(ConfigCheckTest, allFaultsAreListedAtOnce)
{
    std::string text = validSetText;
    text += "\n[service.lonely]\nindex = \"pots\"\n[rank.slow]\ntarget_ms = 0\nfloor_share = 0.9\n";
    EXPECT_EQ(faultsOf(text).size(), 3U);
}

TEST(ConfigCheckTest, invalidTomlFileSkipsReferenceChecks)
{
    const std::string directory = testing::TempDir() + "check-" + makeUniqueId();
    std::filesystem::create_directory(directory);
    std::ofstream(directory + "/a.toml") << "[service.pots-1\nindex = \"pots\"\n";
    std::ofstream(directory + "/b.toml")
        << validSetText.substr(validSetText.find("[backend-server"));
    const ParsedConfig parsed = parseConfigDirectory(directory);
    std::filesystem::remove_all(directory);
    ASSERT_EQ(parsed.faults.size(), 2U);
    EXPECT_THAT(toString(parsed.faults[0]), testing::HasSubstr("a.toml:1"));
    EXPECT_THAT(parsed.faults[1].problem, testing::HasSubstr("once every file can be read"));
}

TEST(ConfigCheckTest, directoryFaultsAreSortedByFileAndLine)
{
    const std::string directory = testing::TempDir() + "check-" + makeUniqueId();
    std::filesystem::create_directory(directory);
    std::ofstream(directory + "/b.toml") << "[rank.urgent]\nworth = 0\n[rank.desk]\nworth = 0\n";
    std::ofstream(directory + "/a.toml") << "[service.pots-1]\nindex = 7\n";
    const ParsedConfig parsed = parseConfigDirectory(directory);
    std::filesystem::remove_all(directory);
    EXPECT_GE(parsed.faults.size(), 5U);
    EXPECT_TRUE(std::is_sorted(parsed.faults.begin(), parsed.faults.end(),
                               [](const ConfigFault &a, const ConfigFault &b) {
                                   return std::tie(a.file, a.line) < std::tie(b.file, b.line);
                               }));
}

ConfigSet setOf(const std::string &text)
{
    ParsedConfig parsed;
    parseConfigText(text, "set.toml", parsed);
    EXPECT_TRUE(parsed.faults.empty());
    return parsed.set;
}

/// \brief A change of validSetText and the expected descriptions and warnings.
struct ImpactCase
{
    std::string name;
    std::string replace;
    std::string replacement;
    std::vector<std::string> impact;
    std::vector<std::string> warnings;
};

class ConfigImpactTest : public testing::TestWithParam<ImpactCase>
{ };

TEST_P(ConfigImpactTest, describesImpactAndWarnings)
{
    std::string text = validSetText;
    text.replace(text.find(GetParam().replace), GetParam().replace.size(), GetParam().replacement);
    const Config before(1, setOf(validSetText));
    const Config after(2, setOf(text));
    EXPECT_EQ(describeImpact(before, after), GetParam().impact);
    EXPECT_EQ(warningsOf(after), GetParam().warnings);
}

const std::string singleServerWarning = "service pots-1 has one backend-server that takes work";
const std::string noServerWarning = "service pots-1 has no backend-server that takes work";

INSTANTIATE_TEST_SUITE_P(
    All, ConfigImpactTest,
    testing::Values(
        ImpactCase{"nothing", "slots = 2", "slots = 2", {}, {singleServerWarning}},
        ImpactCase{"slots",
                   "slots = 2",
                   "slots = 3",
                   {"index pots has slots from 2 to 3"},
                   {singleServerWarning}},
        ImpactCase{"draining",
                   "slots = 2",
                   "slots = 2\ndraining = true",
                   {"backend-server pots-1-a gets no new work", "index pots has slots from 2 to 0"},
                   {noServerWarning}},
        ImpactCase{"slice",
                   "index = \"pots\"",
                   "index = \"pots\"\nslice = \"s2\"",
                   {"slice pots-1 is given up by its relays",
                    "slice s2 gets relays, most likely in az1",
                    "service pots-1 moves to other relays, from slice pots-1 to slice s2"},
                   {singleServerWarning}},
        ImpactCase{"zone",
                   "availability_zone = \"az1\"",
                   "availability_zone = \"az9\"",
                   {"slice pots-1 moves to other relays, from az1 to az9"},
                   {singleServerWarning}},
        ImpactCase{"index",
                   "index = \"pots\"",
                   "index = \"pans\"",
                   {"service pots-1 changes its index, from pots to pans",
                    "index pans has slots from 0 to 2", "index pots has slots from 2 to 0"},
                   {singleServerWarning}}),
    [](const auto &info) { return info.param.name; });

TEST(ConfigCodecTest, decodedSetEqualsEncodedSet)
{
    ParsedConfig parsed;
    parseConfigText(validSetText, "set.toml", parsed);
    ConfigSet decoded;
    for (const ConfigChunk &chunk : encodeConfig(parsed.set))
        ASSERT_TRUE(isOk(decodeChunk(chunk.content, decoded)));
    EXPECT_EQ(decoded, parsed.set);
}

TEST(ConfigHolderTest, rejectsLowerOrEqualGeneration)
{
    ConfigHolder holder;
    EXPECT_TRUE(holder.updateIfNewer(std::make_shared<const Config>(2, ConfigSet{})));
    EXPECT_FALSE(holder.updateIfNewer(std::make_shared<const Config>(1, ConfigSet{})));
    EXPECT_FALSE(holder.updateIfNewer(std::make_shared<const Config>(2, ConfigSet{})));
    EXPECT_EQ(holder.current()->generation(), 2U);
}

} // namespace
} // namespace gwt
