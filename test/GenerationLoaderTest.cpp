#include "DistributionFixture.h"

namespace gwt {
namespace {

/// \brief Source whose contents the test can corrupt.
class CorruptibleSource : public ConfigSource
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
    SourceHead readInto(CorruptibleSource &source)
    {
        for (const ObjectInfo &info : m_platform.store().list(configPrefix))
            source.contents[info.key] = m_platform.store().get(info.key)->value;
        StoreSource store(m_store);
        return valueOf(runTask(m_pool, store.head(Clock::now() + 5s)));
    }

    Outcome<VerifiedGenerationPtr> load(CorruptibleSource &source, const SourceHead &head,
                                        const VerifiedGenerationPtr &current = nullptr)
    {
        return runTask(m_pool, loadGeneration(source, head, current, Clock::now() + 5s));
    }
};

TEST_F(GenerationLoaderTest, corruptOrMissingContentIsRejected)
{
    publish(100);
    CorruptibleSource intact;
    const SourceHead head = readInto(intact);
    ASSERT_TRUE(isOk(load(intact, head)));
    for (const auto &[key, content] : intact.contents) {
        if (key == configHeadKey)
            continue;
        CorruptibleSource corrupt = intact;
        corrupt.contents[key].back() ^= 1;
        EXPECT_FALSE(isOk(load(corrupt, head))) << key;
        corrupt.contents.erase(key);
        EXPECT_FALSE(isOk(load(corrupt, head))) << key;
    }
    SourceHead wrongNumber = head;
    ++wrongNumber.generation;
    EXPECT_FALSE(isOk(load(intact, wrongNumber)));
}

TEST_F(GenerationLoaderTest, fetchesOnlyChangedContents)
{
    publish(100);
    CorruptibleSource source;
    const SourceHead first = readInto(source);
    const auto current = load(source, first);
    publish(200);
    const SourceHead second = readInto(source);
    source.fetched = 0;
    const auto next = load(source, second, valueOf(current));
    ASSERT_TRUE(isOk(next));
    EXPECT_EQ(source.fetched, 2); // the manifest and one chunk
    EXPECT_EQ(valueOf(next)->config->rank("urgent")->target, 200ms);
}

TEST_F(GenerationLoaderTest, fetchesOnePageAndOneChunkOfLargeSet)
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
    CorruptibleSource source;
    const SourceHead first = readInto(source);
    const auto current = load(source, first);
    ASSERT_TRUE(isOk(current));
    set.ranks["rank-77"].target = 200ms;
    ASSERT_TRUE(publishSet());
    const SourceHead second = readInto(source);
    source.fetched = 0;
    const auto next = load(source, second, valueOf(current));
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
        CorruptibleSource corrupt = source;
        corrupt.contents[key].back() ^= 1;
        EXPECT_FALSE(isOk(load(corrupt, second))) << key;
    }
}

TEST_F(GenerationLoaderTest, incrementalLoadEqualsFullLoad)
{
    RandomEngine random(7);
    std::uniform_int_distribution<int> number(0, 99);
    ConfigSet set;
    set.ranks["zz"] = Rank{"zz"};
    VerifiedGenerationPtr current;
    CorruptibleSource source;
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
        const auto next = load(source, head, current);
        ASSERT_TRUE(isOk(next));
        current = valueOf(next);
        ASSERT_EQ(current->config->set(), set) << "step " << step;
        ASSERT_EQ(valueOf(load(source, head))->config->set(), set) << "step " << step;
    }
}

} // namespace
} // namespace gwt
