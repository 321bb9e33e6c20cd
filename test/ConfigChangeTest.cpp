#include "common/Random.h"
#include "control/Control.h"

#include <gtest/gtest.h>

namespace gwt {
namespace {

/// \brief Applies random changes of all kinds, valid and invalid ones.
class RandomConfigChanger
{
public:
    explicit RandomConfigChanger(std::uint32_t seed)
        : m_random(seed)
    { }

    static ConfigSet validSet()
    {
        ConfigSet set;
        set.ranks["urgent"] = Rank{"urgent"};
        for (int i = 0; i < 3; ++i) {
            const std::string name = "place-" + std::to_string(i);
            set.places[name] = Place{name, "region", "az-" + std::to_string(i)};
        }
        for (int i = 0; i < 12; ++i) {
            const std::string name = "service-" + std::to_string(i);
            set.services[name]
                = Service{name, "index-" + std::to_string(i / 6), "slice-" + std::to_string(i / 3)};
        }
        for (int i = 0; i < 30; ++i) {
            BackendServer server;
            server.name = "server-" + std::to_string(i);
            server.service = "service-" + std::to_string(i % 12);
            server.place = "place-" + std::to_string(i % 3);
            server.address = Endpoint("10.0.0." + std::to_string(i), 9000);
            server.connections = 4;
            set.backendServers[server.name] = server;
        }
        return set;
    }

    /// \brief Changes one random object of \a set and adds its name to \a changed.
    void change(ConfigSet &set, ChangedNames &changed)
    {
        using Step = void (RandomConfigChanger::*)(ConfigSet &, ChangedNames &);
        static constexpr std::array<Step, 7> steps{
            &RandomConfigChanger::toggleDraining, &RandomConfigChanger::moveServer,
            &RandomConfigChanger::readdress,      &RandomConfigChanger::addServer,
            &RandomConfigChanger::removeServer,   &RandomConfigChanger::changeService,
            &RandomConfigChanger::changePlace,
        };
        (this->*steps[static_cast<std::size_t>(number(steps.size()))])(set, changed);
    }

private:
    int number(std::size_t count)
    {
        return std::uniform_int_distribution<int>(0, static_cast<int>(count) - 1)(m_random);
    }

    std::string serverName() { return "server-" + std::to_string(number(34)); }
    std::string serviceName() { return "service-" + std::to_string(number(14)); }

    BackendServer *pickServer(ConfigSet &set, ChangedNames &changed)
    {
        const std::string name = serverName();
        if (!set.backendServers.count(name))
            return nullptr;
        changed.backendServers.insert(name);
        return &set.backendServers[name];
    }

    void toggleDraining(ConfigSet &set, ChangedNames &changed)
    {
        if (BackendServer *server = pickServer(set, changed))
            server->isDraining = !server->isDraining;
    }
    void moveServer(ConfigSet &set, ChangedNames &changed)
    {
        if (BackendServer *server = pickServer(set, changed))
            server->service = serviceName();
    }
    void readdress(ConfigSet &set, ChangedNames &changed)
    {
        if (BackendServer *server = pickServer(set, changed))
            server->address = Endpoint("10.0.0." + std::to_string(number(40)), 9000);
    }
    void addServer(ConfigSet &set, ChangedNames &changed)
    {
        BackendServer server;
        server.name = serverName();
        server.service = serviceName();
        server.place = "place-" + std::to_string(number(4));
        server.address = Endpoint("10.0.1." + std::to_string(number(40)), 9000);
        server.slots = 1 + number(2);
        set.backendServers[server.name] = server;
        changed.backendServers.insert(server.name);
    }
    void removeServer(ConfigSet &set, ChangedNames &changed)
    {
        const std::string name = serverName();
        if (set.backendServers.erase(name) > 0)
            changed.backendServers.insert(name);
    }
    void changeService(ConfigSet &set, ChangedNames &changed)
    {
        const std::string name = serviceName();
        changed.services.insert(name);
        if (number(4) == 0)
            set.services.erase(name);
        else
            set.services[name] = Service{name, "index-" + std::to_string(number(3)),
                                         "slice-" + std::to_string(number(5))};
    }
    void changePlace(ConfigSet &set, ChangedNames &changed)
    {
        const std::string name = "place-" + std::to_string(number(3));
        set.places[name].availabilityZone = "az-" + std::to_string(number(3));
        changed.places.insert(name);
    }

    RandomEngine m_random;
};

void expectEqualDerivedTables(const Config &incremental, const Config &rebuilt)
{
    EXPECT_EQ(incremental.set(), rebuilt.set());
    EXPECT_EQ(incremental.slices(), rebuilt.slices());
    for (const std::string &slice : rebuilt.slices()) {
        EXPECT_EQ(incremental.servicesOfSlice(slice), rebuilt.servicesOfSlice(slice)) << slice;
        EXPECT_EQ(incremental.zoneOfSlice(slice), rebuilt.zoneOfSlice(slice)) << slice;
    }
    for (const auto &[name, service] : rebuilt.set().services) {
        EXPECT_EQ(incremental.servicesOfIndex(service.index),
                  rebuilt.servicesOfIndex(service.index));
        const auto &replicas = incremental.replicas(name);
        const auto &expected = rebuilt.replicas(name);
        ASSERT_EQ(replicas.size(), expected.size()) << name;
        for (std::size_t i = 0; i < replicas.size(); ++i)
            EXPECT_EQ(*replicas[i], *expected[i]) << name;
    }
    for (const auto &[name, server] : incremental.set().backendServers)
        EXPECT_EQ(incremental.backendServer(name), &server);
}

class ConfigChangeTest : public testing::TestWithParam<int>
{ };

TEST_P(ConfigChangeTest, incrementalUpdateEqualsFullRebuild)
{
    RandomConfigChanger changer(static_cast<std::uint32_t>(GetParam()));
    auto base = std::make_shared<const Config>(1, RandomConfigChanger::validSet());
    ASSERT_TRUE(checkConfig(base->set(), {}).empty());
    int validChanges = 0;
    constexpr int steps = 600;
    for (int step = 0; step < steps; ++step) {
        ConfigSet set = base->set();
        ChangedNames changed;
        for (int i = 0; i <= step % 3; ++i)
            changer.change(set, changed);
        const auto next = std::make_shared<const Config>(step + 2, set, *base, changed);
        expectEqualDerivedTables(*next, Config(step + 2, set));
        const bool isValid = checkConfig(set, {}).empty();
        ASSERT_EQ(isValidChange(*base, *next, changed), isValid) << "step " << step;
        validChanges += isValid ? 1 : 0;
        if (isValid)
            base = next;
    }
    EXPECT_GT(validChanges, steps / 10);
    EXPECT_LT(validChanges, steps * 9 / 10);
}

INSTANTIATE_TEST_SUITE_P(Seeds, ConfigChangeTest, testing::Values(1, 2, 3));

} // namespace
} // namespace gwt
