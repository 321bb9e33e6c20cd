#include "common/Random.h"
#include "control/Control.h"

#include <gtest/gtest.h>

#include <map>

namespace gwt {
namespace {

using Plain = std::map<std::string, int>;

Plain toPlain(const CopyOnWriteMap<int> &shared)
{
    Plain plain;
    for (const auto &[name, value] : shared)
        plain.emplace_hint(plain.end(), name, value);
    return plain;
}

/// \brief A map and a std::map that had the same changes applied.
struct Twin
{
    CopyOnWriteMap<int> shared;
    Plain plain;
};

void changeAtRandom(Twin &twin, RandomEngine &random, int names)
{
    std::uniform_int_distribution<int> number(0, names - 1);
    const std::string name = "name-" + std::to_string(number(random));
    const int action = number(random) % 3;
    if (action == 0) {
        EXPECT_EQ(twin.shared.erase(name), twin.plain.erase(name));
        return;
    }
    const int value = number(random);
    twin.shared[name] = value;
    twin.plain[name] = value;
}

class CopyOnWriteMapTest : public testing::TestWithParam<int>
{ };

TEST_P(CopyOnWriteMapTest, behavesAsAPlainMapAndACopyNeverSeesLaterChanges)
{
    const int names = GetParam();
    RandomEngine random(11);
    Twin current;
    std::vector<Twin> copies;
    for (int step = 0; step < 40; ++step) {
        for (int change = 0; change < names / 4 + 1; ++change)
            changeAtRandom(current, random, names);
        copies.push_back(current);
        ASSERT_EQ(toPlain(current.shared), current.plain) << "step " << step;
        ASSERT_EQ(current.shared.size(), current.plain.size());
    }
    for (const Twin &copy : copies) {
        ASSERT_EQ(toPlain(copy.shared), copy.plain);
        EXPECT_EQ(copy.shared == current.shared, copy.plain == current.plain);
        for (const auto &[name, value] : copy.plain)
            ASSERT_EQ(copy.shared.find(name)->second, value);
        EXPECT_EQ(copy.shared.find("none"), copy.shared.end());
    }
}

INSTANTIATE_TEST_SUITE_P(All, CopyOnWriteMapTest, testing::Values(1, 10, 300, 2000));

TEST(CopyOnWriteMapTest, anUnchangedEntryKeepsItsAddressInACopy)
{
    CopyOnWriteMap<int> first;
    for (int i = 0; i < 500; ++i)
        first["name-" + std::to_string(i)] = i;
    CopyOnWriteMap<int> second = first;
    second["name-7"] = -1;
    int shared = 0;
    for (const auto &entry : first)
        shared += &entry == &*second.find(entry.first) ? 1 : 0;
    EXPECT_EQ(shared, 499);
    EXPECT_EQ(first.find("name-7")->second, 7);
}

} // namespace
} // namespace gwt
