#include "gateway/backends/BackendRegistry.h"

#include <gtest/gtest.h>

namespace gwt {
namespace {

using namespace std::chrono_literals;

const TimePoint start{1h};

BackendEntry makeEntry(const std::string &id, bool isDraining = false)
{
    BackendEntry entry;
    entry.id = id;
    entry.service = "s";
    entry.isDraining = isDraining;
    return entry;
}

std::vector<std::string> idsOf(const std::vector<BackendChange> &changes)
{
    std::vector<std::string> ids;
    ids.reserve(changes.size());
    for (const BackendChange &change : changes)
        ids.push_back((change.entry ? "+" : "-") + change.id);
    return ids;
}

using Ids = std::vector<std::string>;

class BackendRegistryTest : public testing::Test
{
protected:
    BackendRegistryTest() { m_registry.replaceAll({makeEntry("a"), makeEntry("b")}, start); }

    BackendRegistry m_registry{2s};
};

TEST_F(BackendRegistryTest, aListingReturnsOnlyDifferences)
{
    EXPECT_EQ(idsOf(m_registry.replaceAll({makeEntry("a"), makeEntry("c")}, start)),
              (Ids{"+c", "-b"}));
}

TEST_F(BackendRegistryTest, anUnchangedEntryYieldsNoChange)
{
    EXPECT_TRUE(m_registry.update(makeEntry("a")).empty());
    EXPECT_EQ(idsOf(m_registry.update(makeEntry("a", true))), Ids{"+a"});
}

TEST_F(BackendRegistryTest, aRestartUnderTheSameIdYieldsAChange)
{
    BackendEntry entry = makeEntry("a");
    entry.incarnation = 17;
    EXPECT_EQ(idsOf(m_registry.update(entry)), Ids{"+a"});
}

TEST_F(BackendRegistryTest, aRemovalTakesEffectAtOnceWhileTheRegistryIsReachable)
{
    EXPECT_EQ(idsOf(m_registry.remove("a", start)), Ids{"-a"});
    EXPECT_TRUE(m_registry.remove("a", start).empty());
}

struct RecoveryCase
{
    std::string name;
    Duration removedAfter; ///< after the registry's recovery
    bool isDraining;
    bool registersAgain;
    bool isKeptAfterRemoval;
    bool isKeptAfterGracePeriod;
};

class RegistryRecoveryTest : public BackendRegistryTest,
                             public testing::WithParamInterface<RecoveryCase>
{ };

TEST_P(RegistryRecoveryTest, anEntryThatExpiredInAnOutageIsKeptForTheGracePeriod)
{
    m_registry.update(makeEntry("a", GetParam().isDraining));
    m_registry.startGracePeriod(start);
    m_registry.remove("a", start + GetParam().removedAfter);
    EXPECT_EQ(m_registry.entries().contains("a"), GetParam().isKeptAfterRemoval);
    if (GetParam().registersAgain)
        m_registry.update(makeEntry("a"));
    m_registry.expire(start + 2s);
    EXPECT_EQ(m_registry.entries().contains("a"), GetParam().isKeptAfterGracePeriod);
    EXPECT_FALSE(m_registry.nextExpiry());
}

INSTANTIATE_TEST_SUITE_P(
    Removals, RegistryRecoveryTest,
    testing::Values(RecoveryCase{"expiredForGood", 100ms, false, false, true, false},
                    RecoveryCase{"expiredAndRegisteredAgain", 100ms, false, true, true, true},
                    RecoveryCase{"draining", 100ms, true, false, false, false},
                    RecoveryCase{"longAfterTheRecovery", 2100ms, false, false, false, false}),
    [](const auto &info) { return info.param.name; });

} // namespace
} // namespace gwt
