#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <regex>
#include <set>
#include <string>
#include <vector>

namespace {

using Path = std::filesystem::path;
using Names = std::set<std::string>;

constexpr std::size_t maxFileLines = 440;

const Path source(GWT_SOURCE_DIR);

std::vector<std::string> linesOf(const Path &path)
{
    std::vector<std::string> lines;
    std::ifstream file(path);
    for (std::string line; std::getline(file, line);)
        lines.push_back(line);
    return lines;
}

std::vector<Path> filesBelow(const Path &root)
{
    std::vector<Path> files;
    for (const auto &entry : std::filesystem::recursive_directory_iterator(root)) {
        const Path extension = entry.path().extension();
        if (extension == ".cpp" || extension == ".h")
            files.push_back(entry.path());
    }
    std::sort(files.begin(), files.end());
    return files;
}

/// Returns the modules that each module may include: itself and those that CMakeLists.txt links it
/// with, directly or indirectly.
std::map<std::string, Names> linkedModules()
{
    static const std::regex module("gwt_module\\(([a-z]+) (.*)\\)");
    static const std::regex library("gwt-([a-z]+)-lib");
    std::map<std::string, Names> linked;
    for (const std::string &line : linesOf(source / "CMakeLists.txt")) {
        std::smatch match;
        if (!std::regex_match(line, match, module))
            continue;
        const std::string libraries = match[2];
        Names &names = linked[match[1]];
        names.insert(match[1]);
        for (std::sregex_iterator it(libraries.begin(), libraries.end(), library), end; it != end;
             ++it) {
            const auto known = linked.find((*it)[1]);
            EXPECT_NE(known, linked.end())
                << match[1] << " links a module that is declared after it in CMakeLists.txt";
            if (known != linked.end())
                names.insert(known->second.begin(), known->second.end());
        }
    }
    return linked;
}

std::vector<Path> includesOf(const Path &file)
{
    static const std::regex include("#include \"([^\"]+)\"");
    std::vector<Path> includes;
    for (const std::string &line : linesOf(file)) {
        std::smatch match;
        if (std::regex_match(line, match, include))
            includes.emplace_back(match[1].str());
    }
    return includes;
}

bool isInternal(const Path &path)
{
    return std::find(path.begin(), path.end(), "internal") != path.end();
}

std::string capitalised(std::string name)
{
    name.front() = static_cast<char>(std::toupper(static_cast<unsigned char>(name.front())));
    return name;
}

/// Returns the header that includes all others of a module; a class may already use the
/// module's name.
Path umbrellaOf(const std::string &module)
{
    const Path folder = source / "src" / module;
    const Path longer = folder / (capitalised(module) + "Module.h");
    return std::filesystem::exists(longer) ? longer : folder / (capitalised(module) + ".h");
}

TEST(LayoutTest, aModuleIncludesOnlyModulesThatItIsLinkedWith)
{
    const std::map<std::string, Names> linked = linkedModules();
    ASSERT_FALSE(linked.empty());
    for (const auto &[module, allowed] : linked) {
        for (const Path &file : filesBelow(source / "src" / module)) {
            for (const Path &include : includesOf(file)) {
                const std::string target = include.begin()->string();
                EXPECT_TRUE(linked.count(target) == 0 || allowed.count(target) > 0)
                    << file << " includes " << include;
                EXPECT_TRUE(target == module || !isInternal(include))
                    << file << " includes " << include;
            }
        }
    }
}

TEST(LayoutTest, theUmbrellaHeaderHasEveryPublicHeaderOfItsModule)
{
    for (const auto &entry : linkedModules()) {
        const Path folder = source / "src" / entry.first;
        const Path umbrella = umbrellaOf(entry.first);
        ASSERT_TRUE(std::filesystem::exists(umbrella)) << umbrella;
        const std::vector<Path> included = includesOf(umbrella);
        for (const Path &header : filesBelow(folder)) {
            const Path name = header.lexically_relative(source / "src");
            if (header == umbrella || header.extension() != ".h" || isInternal(name)
                || name.filename() == "Pch.h")
                continue;
            EXPECT_NE(std::find(included.begin(), included.end(), name), included.end())
                << umbrella << " does not include " << name;
        }
    }
}

TEST(LayoutTest, filesAreShort)
{
    for (const char *folder : {"src", "apps", "standins", "test", "bench", "fuzz"}) {
        for (const Path &file : filesBelow(source / folder))
            EXPECT_LE(linesOf(file).size(), maxFileLines) << file;
    }
}

/// A temporary returned by a call is destroyed before the first iteration of a range-based for
/// loop over an object that it refers to.
TEST(LayoutTest, noLoopRunsOverAReferenceIntoATemporary)
{
    static const std::regex loop("for \\([^;]* : (\\*[^()]*\\(\\)|[^()]*\\(\\)->)");
    for (const char *folder : {"src", "platform", "apps", "standins", "test", "bench"}) {
        for (const Path &file : filesBelow(source / folder)) {
            for (const std::string &line : linesOf(file)) {
                const bool isMessageField = line.find(".mutable_") != std::string::npos;
                EXPECT_TRUE(isMessageField || !std::regex_search(line, loop))
                    << file << ": " << line;
            }
        }
    }
}

TEST(LayoutTest, headersAreDocumented)
{
    for (const char *folder : {"src", "standins"}) {
        for (const Path &file : filesBelow(source / folder)) {
            if (file.extension() != ".h")
                continue;
            const std::vector<std::string> lines = linesOf(file);
            EXPECT_TRUE(std::any_of(
                lines.begin(), lines.end(),
                [](const std::string &line) { return line.find("\\brief") != std::string::npos; }))
                << file << " has no \\brief";
        }
    }
}

} // namespace
