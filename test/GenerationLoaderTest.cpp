#include "DistributionFixture.h"

namespace gwt {
namespace {

/// \brief Source whose contents the test can corrupt.
class SpoiltSource : public ConfigSource
{
public:
    Task<Outcome<SourceHead>> head(TimePoint) override { co_return SourceHead(); }
    Task<Outcome<std::string>> content(std::string key, TimePoint) override
    {
        ++fetched;
        const auto found = contents.find(key);
        if (found == contents.end())
            co_return Error(ErrorCode::NotFound, "not_held", key);
        co_return found->second;
    }

    std::map<std::string, std::string> contents;
    int fetched = 0;
};

class GenerationLoaderTest : public DistributionFixture
{
protected:
    SourceHead readInto(SpoiltSource &source)
    {
        for (const ObjectInfo &info : m_platform.store().list(configPrefix))
            source.contents[info.key] = m_platform.store().get(info.key)->value;
        StoreSource store(m_store);
        return valueOf(runTask(m_pool, store.head(Clock::now() + 5s)));
    }

    Outcome<HeldGenerationPtr> load(SpoiltSource &source, const SourceHead &head,
                                    const HeldGenerationPtr &held = nullptr)
    {
        return runTask(m_pool, loadGeneration(source, head, held, Clock::now() + 5s));
    }
};

TEST_F(GenerationLoaderTest, spoiltOrMissingContentIsNeverTaken)
{
    publish(100);
    SpoiltSource sound;
    const SourceHead head = readInto(sound);
    ASSERT_TRUE(isOk(load(sound, head)));
    for (const auto &[key, content] : sound.contents) {
        if (key == configHeadKey)
            continue;
        SpoiltSource spoilt = sound;
        spoilt.contents[key].back() ^= 1;
        EXPECT_FALSE(isOk(load(spoilt, head))) << key;
        spoilt.contents.erase(key);
        EXPECT_FALSE(isOk(load(spoilt, head))) << key;
    }
    SourceHead wrongNumber = head;
    ++wrongNumber.generation;
    EXPECT_FALSE(isOk(load(sound, wrongNumber)));
}

TEST_F(GenerationLoaderTest, onlyWhatChangedIsFetched)
{
    publish(100);
    SpoiltSource source;
    const SourceHead first = readInto(source);
    const auto held = load(source, first);
    publish(200);
    const SourceHead second = readInto(source);
    source.fetched = 0;
    const auto next = load(source, second, valueOf(held));
    ASSERT_TRUE(isOk(next));
    EXPECT_EQ(source.fetched, 2); // the manifest and one chunk
    EXPECT_EQ(valueOf(next)->config->rank("urgent")->target, 200ms);
}

TEST_F(GenerationLoaderTest, ofALargeSetOnlyOnePageAndOneChunkAreFetched)
{
    ConfigSet set;
    for (int i = 0; i < 12'000; ++i) {
        const std::string name = "rank-" + std::to_string(i);
        set.ranks[name] = Rank{name, 100ms};
    }
    const auto publishSet = [&] {
        return isOk(runTask(m_pool, m_publisher.publish(set, {"test", ""}, Clock::now() + 20s)));
    };
    ASSERT_TRUE(publishSet());
    SpoiltSource source;
    const SourceHead first = readInto(source);
    const auto held = load(source, first);
    ASSERT_TRUE(isOk(held));
    set.ranks["rank-77"].target = 200ms;
    ASSERT_TRUE(publishSet());
    const SourceHead second = readInto(source);
    source.fetched = 0;
    const auto next = load(source, second, valueOf(held));
    ASSERT_TRUE(isOk(next));
    EXPECT_EQ(source.fetched, 3); // the manifest, one page and one chunk
    EXPECT_EQ(valueOf(next)->config->set(), set);
    ConfigReader reader(m_store);
    const auto read = runTask(m_pool, reader.current(Clock::now() + 20s));
    ASSERT_TRUE(isOk(read));
    EXPECT_EQ(valueOf(read)->set(), set);
    for (const auto &[key, content] : valueOf(next)->contents) {
        if (key.rfind(pageKey(""), 0) != 0)
            continue;
        SpoiltSource spoilt = source;
        spoilt.contents[key].back() ^= 1;
        EXPECT_FALSE(isOk(load(spoilt, second))) << key;
    }
}

TEST_F(GenerationLoaderTest, aSetMadeFromTheHeldOneEqualsTheOneThatIsReadWhole)
{
    RandomEngine random(7);
    std::uniform_int_distribution<int> number(0, 99);
    ConfigSet set;
    set.ranks["zz"] = Rank{"zz"};
    HeldGenerationPtr held;
    SpoiltSource source;
    for (int step = 0; step < 40; ++step) {
        for (int change = 0; change < 1 + step * 8; ++change) {
            const std::string name = "rank-" + std::to_string(number(random) + step * 40);
            if (number(random) < 60)
                set.ranks[name] = Rank{name, Milliseconds(1 + number(random))};
            else if (set.ranks.size() > 1)
                set.ranks.erase(set.ranks.begin());
        }
        const auto published
            = runTask(m_pool, m_publisher.publish(set, {"test", ""}, Clock::now() + 5s));
        ASSERT_TRUE(isOk(published));
        const SourceHead head = readInto(source);
        const auto next = load(source, head, held);
        ASSERT_TRUE(isOk(next));
        held = valueOf(next);
        ASSERT_EQ(held->config->set(), set) << "step " << step;
        ASSERT_EQ(valueOf(load(source, head))->config->set(), set) << "step " << step;
    }
}

} // namespace
} // namespace gwt
