#include "common/Random.h"
#include "control/Control.h"

#include <gtest/gtest.h>

#include <map>

namespace gwt {
namespace {

using ReferenceMap = std::map<std::string, int>;

ReferenceMap toReferenceMap(const CopyOnWriteMap<int> &shared)
{
    ReferenceMap reference;
    for (const auto &[name, value] : shared)
        reference.emplace_hint(reference.end(), name, value);
    return reference;
}

/// \brief A map and a std::map that had the same changes applied.
struct MapPair
{
    CopyOnWriteMap<int> shared;
    ReferenceMap reference;
};

void applyRandomChange(MapPair &maps, RandomEngine &random, int names)
{
    std::uniform_int_distribution<int> number(0, names - 1);
    const std::string name = "name-" + std::to_string(number(random));
    const int action = number(random) % 3;
    if (action == 0) {
        EXPECT_EQ(maps.shared.erase(name), maps.reference.erase(name));
        return;
    }
    const int value = number(random);
    maps.shared[name] = value;
    maps.reference[name] = value;
}

class CopyOnWriteMapTest : public testing::TestWithParam<int>
{ };

TEST_P(CopyOnWriteMapTest, equalsReferenceMapAndCopiesAreIsolated)
{
    const int names = GetParam();
    RandomEngine random(11);
    MapPair current;
    std::vector<MapPair> copies;
    for (int step = 0; step < 40; ++step) {
        for (int change = 0; change < names / 4 + 1; ++change)
            applyRandomChange(current, random, names);
        copies.push_back(current);
        ASSERT_EQ(toReferenceMap(current.shared), current.reference) << "step " << step;
        ASSERT_EQ(current.shared.size(), current.reference.size());
    }
    for (const MapPair &copy : copies) {
        ASSERT_EQ(toReferenceMap(copy.shared), copy.reference);
        EXPECT_EQ(copy.shared == current.shared, copy.reference == current.reference);
        for (const auto &[name, value] : copy.reference)
            ASSERT_EQ(copy.shared.find(name)->second, value);
        EXPECT_EQ(copy.shared.find("none"), copy.shared.end());
    }
}

INSTANTIATE_TEST_SUITE_P(All, CopyOnWriteMapTest, testing::Values(1, 10, 300, 2000));

TEST(CopyOnWriteMapTest, unchangedEntryKeepsItsAddressInACopy)
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
