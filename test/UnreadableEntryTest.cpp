#include "ScriptedServer.h"
#include "platform/BackendDecoder.h"
#include "platform/JsonSplitter.h"
#include "platform/KindFeed.h"
#include "platform/PlatformFeed.h"
#include "platform/StoreCodec.h"
#include "platform/Utf8.h"

#include <gtest/gtest.h>

namespace gwt::platform {
namespace {

using namespace std::chrono_literals;

std::string repeated(const std::string &text, int count)
{
    std::string result;
    for (int i = 0; i < count; ++i)
        result += text;
    return result;
}

std::string objectWith(const std::string &name, const std::string &spec)
{
    return R"({"meta":{"name":")" + name + R"(","revision":7},"spec":)" + spec + "}";
}

std::string backendAt(const std::string &name, const std::string &port,
                      const std::string &service = "s", const std::string &more = "")
{
    return objectWith(name,
                      R"({"service":")" + service + R"(","address":"10.0.0.1:)" + port
                          + R"(","zone":"z","slots":2,"state":"ready")" + more + "}");
}

std::string eventOf(const std::string &object, bool isRemoved = false)
{
    return R"({"object":)" + object + R"(,"removed":)" + (isRemoved ? "true" : "false") + "}";
}

struct BadElementCase
{
    std::string name;
    std::string object;
    std::string expectedName = "bad"; ///< empty: the name is unreadable, too
    std::uint64_t expectedRevision = 7;
};

const std::vector<BadElementCase> badElements{
    {"loneSurrogate", backendAt("bad", "80", R"(kafi81\ud83d)")},
    {"lowSurrogate", backendAt("bad", "80", R"(\udc00)")},
    {"deepArray", objectWith("bad", repeated("[", 40) + repeated("]", 40))},
    {"veryDeepArray", objectWith("bad", repeated("[", 100'000) + repeated("]", 100'000))},
    {"deepObject", objectWith("bad", repeated("{\"a\":", 40) + "1" + repeated("}", 40))},
    {"hugeNumber", backendAt("bad", "80", "s", R"(,"seq":1e99999999999)")},
    {"badNumber", objectWith("bad", "01")},
    {"badWord", objectWith("bad", "nul")},
    {"badEscape", objectWith("bad", R"("\x41")")},
    {"controlCharacter", objectWith("bad", "\"a\nb\"")},
    {"brackets", objectWith("bad", R"("]}\"[{\ud83d")")},
    {"mixedBrackets", objectWith("bad", "[}")},
    {"missingValue", objectWith("bad", "")},
    {"escapedKeys", R"({"m\u0065ta":{"n\u0061me":"bad","revision":7},"spec":nul})"},
    {"badFinalizer", R"({"meta":{"name":"bad","revision":7,"finalizers":["\ud83d"]}})"},
    {"badRevision", R"({"meta":{"name":"bad","revision":1e99999999999}})", "bad", 0},
    {"badName", objectWith(R"(b\ud83d)", "{}"), ""},
    {"noName", R"({"meta":{"revision":7},"spec":nul})", ""},
    {"rawName", objectWith("b\xff", "{}"), ""},
    {"noObject", "nul", "", 0},
    {"nothing", "", "", 0}};

class BadElementTest : public testing::TestWithParam<BadElementCase>
{
protected:
    static void expectReported(const std::vector<UnreadableObject> &unreadable)
    {
        ASSERT_EQ(unreadable.size(), 1U);
        EXPECT_EQ(unreadable[0].name, GetParam().expectedName);
        EXPECT_EQ(unreadable[0].revision, GetParam().expectedRevision);
        EXPECT_FALSE(unreadable[0].reason.empty());
    }
};

TEST_P(BadElementTest, hidesNoOtherObjectOfAListing)
{
    const auto page = decodePage(R"({"items":[)" + backendAt("a", "1") + "," + GetParam().object
                                 + "," + backendAt("c", "3") + R"(],"more":true,"asOf":9})");
    ASSERT_TRUE(isOk(page));
    const StoreListing &listing = valueOf(page).listing;
    ASSERT_EQ(listing.objects.size(), 2U);
    EXPECT_EQ(listing.objects[0].name, "a");
    EXPECT_TRUE(decodeBackend(listing.objects[0]));
    EXPECT_EQ(listing.objects[1].name, "c");
    EXPECT_TRUE(decodeBackend(listing.objects[1]));
    EXPECT_EQ(listing.asOf, 9U);
    EXPECT_TRUE(valueOf(page).hasMore);
    EXPECT_EQ(valueOf(page).lastName, "c");
    expectReported(listing.unreadable);
}

TEST_P(BadElementTest, hidesNoOtherChangeOfAWatch)
{
    const auto decoded = decodeChanges(R"({"asOf":9,"events":[)" + eventOf(backendAt("a", "1"))
                                       + "," + eventOf(GetParam().object) + ","
                                       + eventOf(backendAt("c", "3"), true) + "]}");
    ASSERT_TRUE(isOk(decoded));
    const StoreChanges &changes = valueOf(decoded);
    ASSERT_EQ(changes.changes.size(), 2U);
    EXPECT_EQ(changes.changes[0].object.name, "a");
    EXPECT_FALSE(changes.changes[0].isRemoved);
    EXPECT_EQ(changes.changes[1].object.name, "c");
    EXPECT_TRUE(changes.changes[1].isRemoved);
    EXPECT_EQ(changes.asOf, 9U);
    expectReported(changes.unreadable);
}

TEST_P(BadElementTest, isRemovedByNameInAWatch)
{
    const auto decoded = decodeChanges(R"({"events":[)" + eventOf(GetParam().object, true) + "]}");
    ASSERT_TRUE(isOk(decoded));
    const StoreChanges &changes = valueOf(decoded);
    if (GetParam().expectedName.empty()) {
        EXPECT_TRUE(changes.changes.empty());
        expectReported(changes.unreadable);
        return;
    }
    EXPECT_TRUE(changes.unreadable.empty());
    ASSERT_EQ(changes.changes.size(), 1U);
    EXPECT_EQ(changes.changes[0].object.name, "bad");
    EXPECT_TRUE(changes.changes[0].isRemoved);
}

TEST_P(BadElementTest, aloneAtTheEndOfAPageItsNameContinuesTheListing)
{
    const auto page = decodePage(R"({"items":[)" + backendAt("a", "1") + "," + GetParam().object
                                 + R"(],"more":true})");
    ASSERT_TRUE(isOk(page));
    const std::string &expected = GetParam().expectedName;
    EXPECT_EQ(valueOf(page).lastName, expected.empty() ? "a" : expected);
}

INSTANTIATE_TEST_SUITE_P(Elements, BadElementTest, testing::ValuesIn(badElements),
                         [](const auto &info) { return info.param.name; });

struct SplitCase
{
    std::string name;
    std::string text;
    std::optional<std::vector<std::string_view>> elements;
};

class SplitArrayTest : public testing::TestWithParam<SplitCase>
{ };

TEST_P(SplitArrayTest, splitsOutsideOfStringsAndBrackets)
{
    EXPECT_EQ(splitArray(GetParam().text), GetParam().elements);
}

using Elements = std::vector<std::string_view>;

INSTANTIATE_TEST_SUITE_P(
    Texts, SplitArrayTest,
    testing::Values(SplitCase{"empty", " [ ] ", Elements{}},
                    SplitCase{"spaces", "[ 1 ,\n2 ]", Elements{"1", "2"}},
                    SplitCase{"nested", "[[1,2],{\"a\":[3]}]", Elements{"[1,2]", "{\"a\":[3]}"}},
                    SplitCase{"strings", R"(["a,b","]\"[","\\"])",
                              Elements{R"("a,b")", R"("]\"[")", R"("\\")"}},
                    SplitCase{"emptyParts", "[,]", Elements{"", ""}},
                    SplitCase{"openString", "[\"a]", std::nullopt},
                    SplitCase{"escapeAtTheEnd", "[\"\\]", std::nullopt},
                    SplitCase{"openBracket", "[[]", std::nullopt},
                    SplitCase{"closedTwice", "[]]", std::nullopt},
                    SplitCase{"object", "{}", std::nullopt}, SplitCase{"noText", "", std::nullopt}),
    [](const auto &info) { return info.param.name; });

struct Utf8Case
{
    std::string name;
    std::string text;
    bool isValid;
};

class Utf8Test : public testing::TestWithParam<Utf8Case>
{ };

TEST_P(Utf8Test, acceptsOnlyShortestFormsOfCharacters)
{
    EXPECT_EQ(isValidUtf8(GetParam().text), GetParam().isValid);
}

INSTANTIATE_TEST_SUITE_P(
    Texts, Utf8Test,
    testing::Values(Utf8Case{"empty", "", true}, Utf8Case{"ascii", "a\x7f", true},
                    Utf8Case{"two", "\xc3\xa9", true}, Utf8Case{"three", "\xe2\x82\xac", true},
                    Utf8Case{"four", "\xf0\x9f\x98\x80", true},
                    Utf8Case{"largest", "\xf4\x8f\xbf\xbf", true},
                    Utf8Case{"tooLarge", "\xf4\x90\x80\x80", false},
                    Utf8Case{"surrogate", "\xed\xa0\x80", false},
                    Utf8Case{"overlongTwo", "\xc0\xaf", false},
                    Utf8Case{"overlongThree", "\xe0\x80\xaf", false},
                    Utf8Case{"overlongFour", "\xf0\x80\x80\xaf", false},
                    Utf8Case{"continuation", "\x80", false}, Utf8Case{"cut", "a\xe2\x82", false},
                    Utf8Case{"interrupted", "\xe2\x82z", false},
                    Utf8Case{"five", "\xf8\x88\x80\x80\x80", false}),
    [](const auto &info) { return info.param.name; });

/// Ignores all changes; the tests inspect the FleetState.
class SilentObserver : public StateObserver
{
public:
    void onConfig(const RoutingConfig &) override { }
    void onBackends(const std::vector<BackendEntry> &) override { }
    void onBackendChanges(const std::vector<BackendChange> &) override { }
    void onMembers(const std::vector<FleetMember> &) override { }
    void onRegistryRecovery() override { }
};

std::string memberAt(const std::string &name, const std::string &zone, const std::string &more = "")
{
    return objectWith(name,
                      R"({"peer":"10.0.0.1:9","availability_zone":")" + zone + "\"" + more + "}");
}

struct LastGoodCase
{
    std::string name;
    std::string backend; ///< new content of the object "bad"
    std::string member; ///< likewise
    bool isKept; ///< the last good content holds
};

class LastGoodTest : public testing::TestWithParam<LastGoodCase>
{
protected:
    /// \brief Replies to the calls for one kind from its first watch on; before that, "bad" is
    /// listed in order.
    using Reply = std::function<test::ScriptedReply(const std::string &good, const std::string &bad,
                                                    bool isFirstWatch, bool isWatch)>;

    test::ScriptedReply answer(const test::ServerRequest &request, const Reply &reply)
    {
        const std::string target(request.target());
        if (request.method() != boost::beast::http::verb::get)
            return page("[]");
        const bool isWatch = target.find("watch=") != std::string::npos;
        const bool isBackend = target.find("/servers") != std::string::npos;
        if (!isBackend && target.find("/gateways") == std::string::npos)
            return isWatch ? test::ScriptedReply{} : page("[]");
        const std::string good = isBackend ? backendAt("other", "4") : memberAt("other", "z");
        const std::string &bad = isBackend ? GetParam().backend : GetParam().member;
        int &watches = isBackend ? m_backendWatches : m_memberWatches;
        watches += isWatch ? 1 : 0;
        if (watches == 0)
            return page("[" + (isBackend ? backendAt("bad", "3") : memberAt("bad", "z")) + "]");
        return reply(good, bad, isWatch && watches == 1, isWatch);
    }
    static test::ScriptedReply page(const std::string &items)
    {
        return {test::httpResponse(200, "", R"({"asOf":5,"items":)" + items + "}")};
    }
    void expectLastGood(const Reply &reply)
    {
        test::ScriptedServer store(m_context, m_timers, [&](const test::ServerRequest &request) {
            return answer(request, reply);
        });
        PlatformFeed feed(m_context, m_timers, m_metrics, store.endpoint(),
                          {"self", {"127.0.0.1", 1}, "north"}, m_state, 600ms, 1s);
        feed.startWatching();
        const auto hasMember = [&](const std::string &name) {
            const auto &members = m_state.members();
            return std::any_of(members.begin(), members.end(),
                               [&](const FleetMember &member) { return member.name == name; });
        };
        ASSERT_TRUE(test::runUntil(
            m_context, [&] { return m_state.backends().contains("other") && hasMember("other"); },
            10s));
        EXPECT_EQ(m_state.backends().contains("bad"), GetParam().isKept);
        EXPECT_EQ(hasMember("bad"), GetParam().isKept);
        const std::string counter = "gwt_unreadable_objects_total{kind=\"servers\"}";
        EXPECT_EQ(m_metrics.text().find(counter) != std::string::npos, GetParam().isKept);
    }

    boost::asio::io_context m_context;
    TimerQueue m_timers{m_context};
    Metrics m_metrics;
    SilentObserver m_observer;
    FleetState m_state{m_observer};
    int m_backendWatches = 0;
    int m_memberWatches = 0;
};

TEST_P(LastGoodTest, holdsWhenAWatchReportsAnUnreadableChange)
{
    expectLastGood([](const std::string &good, const std::string &bad, bool isFirst, bool isWatch) {
        if (isWatch && !isFirst)
            return test::ScriptedReply{};
        const std::string body
            = R"({"asOf":8,"events":[)" + eventOf(bad) + "," + eventOf(good) + "]}";
        return test::ScriptedReply{test::httpResponse(200, "", body)};
    });
}

TEST_P(LastGoodTest, holdsWhenANewListingHasAnUnreadableEntry)
{
    expectLastGood([](const std::string &good, const std::string &bad, bool isFirst, bool isWatch) {
        if (isWatch)
            return isFirst ? test::ScriptedReply{test::httpResponse(410, "", "{}")}
                           : test::ScriptedReply{};
        return page("[" + bad + "," + good + "]");
    });
}

INSTANTIATE_TEST_SUITE_P(
    Entries, LastGoodTest,
    testing::Values(
        LastGoodCase{"loneSurrogate", backendAt("bad", "3", R"(s\ud83d)"),
                     memberAt("bad", R"(z\ud83d)"), true},
        LastGoodCase{"hugeNumber", backendAt("bad", "3", "s", R"(,"seq":1e99999999999)"),
                     memberAt("bad", "z", R"(,"seq":1e99999999999)"), true},
        LastGoodCase{"rawBytes", backendAt("bad", "3", "s\xff"), memberAt("bad", "z\xff"), true},
        LastGoodCase{"otherType", objectWith("bad", R"({"service":5})"),
                     objectWith("bad", R"({"peer":5})"), false}),
    [](const auto &info) { return info.param.name; });

TEST(UnusedTextTest, rawBytesInAnUnusedFieldDoNotInvalidateAnEntry)
{
    const auto page
        = decodePage(R"({"items":[)" + backendAt("a", "1", "s", ",\"note\":\"\xff\"") + "]}");
    ASSERT_TRUE(isOk(page));
    ASSERT_EQ(valueOf(page).listing.objects.size(), 1U);
    EXPECT_TRUE(decodeBackend(valueOf(page).listing.objects[0]));
    EXPECT_TRUE(valueOf(page).listing.unreadable.empty());
}

} // namespace
} // namespace gwt::platform
