#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>

namespace gwt {

namespace {

using Names = std::set<std::string>;

std::string read(const std::filesystem::path &path)
{
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
}

Names namesIn(const std::string &text, const std::regex &pattern)
{
    Names names;
    for (std::sregex_iterator match(text.begin(), text.end(), pattern), end; match != end; ++match)
        names.insert((*match)[1]);
    return names;
}

Names namesInCode(const std::filesystem::path &root, const std::regex &literal)
{
    Names names;
    for (const auto &entry : std::filesystem::recursive_directory_iterator(root)) {
        if (entry.is_regular_file())
            names.merge(namesIn(read(entry.path()), literal));
    }
    return names;
}

/// \brief Page with a table whose first column lists names that the code uses.
struct PageCase
{
    std::string page;
    std::string row; ///< pattern of a row, with the name as its first group
    std::string literal; ///< pattern of the name in the code
};

class PagesTest : public testing::TestWithParam<PageCase>
{ };

TEST_P(PagesTest, pageListsExactlyTheNamesInTheCode)
{
    const std::filesystem::path source(GWT_SOURCE_DIR);
    const Names onPage
        = namesIn(read(source / "docs" / GetParam().page), std::regex(GetParam().row));
    const std::regex literal(GetParam().literal);
    Names inCode = namesInCode(source / "src", literal);
    inCode.merge(namesInCode(source / "platform", literal));
    EXPECT_FALSE(inCode.empty());
    EXPECT_EQ(onPage, inCode);
}

const std::string settingsKey
    = "((?:daemon|limits|platform|membership|distribution|entry|relay|booking)\\.[a-z0-9_]+)";

INSTANTIATE_TEST_SUITE_P(
    All, PagesTest,
    testing::Values(PageCase{"METRICS.md", "\\| `(gwt_[a-z0-9_]+)` \\|", "\"(gwt_[a-z0-9_]+)\""},
                    PageCase{"EVENTS.md", "\\| `([a-z0-9_]+)` \\|",
                             "log(?:Debug|Info|Warning|Error)\\(\\s*\"([a-z0-9_]+)\""},
                    PageCase{"OPERATIONS.md", "\\| `" + settingsKey + "` \\|",
                             "\"" + settingsKey + "\""}),
    [](const auto &info) { return info.param.page.substr(0, info.param.page.find('.')); });

} // namespace
} // namespace gwt
