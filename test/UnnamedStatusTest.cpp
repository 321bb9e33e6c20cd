#include "GatewayFixture.h"

namespace gwt::test {
namespace {

struct StatusCase
{
    std::string name;
    std::string interim; ///< sent before the response of the first server
    int status; ///< of that response; the other server succeeds
    bool isIdempotent;
    unsigned callerStatus;
    int sends;
};

class UnnamedStatusTest : public GatewayTest, public testing::WithParamInterface<StatusCase>
{ };

// Guards against status codes that the HTTP library has no name for and that are treated unlike
// others of their class: an interim response that ends the request, a success that is repeated.
TEST_P(UnnamedStatusTest, aStatusIsTreatedByItsFirstDigit)
{
    const StatusCase &status = GetParam();
    int sends = 0;
    const auto script = [&](const ServerRequest &) {
        if (++sends > 1)
            return ScriptedReply{okResponse("second")};
        return ScriptedReply{status.interim + httpResponse(status.status, signatureField, "first")};
    };
    addServer("s", script);
    addServer("s", script);
    addSingleRoute(status.isIdempotent);
    start();
    const WireResponse response = sendRequest("/one/1", "X-Deadline-Ms: 600\r\n");
    EXPECT_EQ(response.result_int(), status.callerStatus);
    EXPECT_EQ(response.body(), status.sends == 1 ? "first" : "second");
    EXPECT_EQ(sends, status.sends);
}

const std::string earlyHints = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";

INSTANTIATE_TEST_SUITE_P(
    Statuses, UnnamedStatusTest,
    testing::Values(StatusCase{"earlyHints", earlyHints, 200, true, 200, 1},
                    StatusCase{"earlyHintsNonIdempotent", earlyHints, 200, false, 200, 1},
                    StatusCase{"unknownInterim", "HTTP/1.1 199 X\r\n\r\n", 200, false, 200, 1},
                    StatusCase{"continue", "HTTP/1.1 100 Continue\r\n\r\n", 200, false, 200, 1},
                    StatusCase{"unknownSuccess", "", 299, true, 299, 1},
                    StatusCase{"unknownClientError", "", 499, true, 499, 1},
                    StatusCase{"unknownServerError", "", 599, true, 200, 2},
                    StatusCase{"unknownServerErrorNonIdempotent", "", 599, false, 599, 1}),
    [](const auto &info) { return info.param.name; });

struct InvalidStatusCase
{
    std::string name;
    std::string head; ///< status line, and fields, of the first response
    bool isIdempotent;
};

class InvalidStatusTest : public GatewayTest, public testing::WithParamInterface<InvalidStatusCase>
{
protected:
    InvalidStatusTest()
    {
        const auto script = [this](const ServerRequest &) {
            const std::string fields = signatureField + "Content-Length: 16\r\n\r\n";
            if (++m_sends > 1)
                return ScriptedReply{okResponse(std::string(16, 'g'))};
            return ScriptedReply{GetParam().head + fields + std::string(16, 'x'), 0ms, true};
        };
        addServer("s", script);
        addServer("s", script);
    }

    int m_sends = 0;
};

// A server in trouble sends a head that is no response of HTTP/1.1. A caller that gets it takes
// bytes without a meaning for the outcome of its request.
TEST_P(InvalidStatusTest, itDoesNotReachTheCallerOfASingleRequest)
{
    addSingleRoute(GetParam().isIdempotent);
    start();
    const auto outcome = exchange(request("/one/1", "X-Deadline-Ms: 600\r\n"));
    ASSERT_TRUE(isOk(outcome));
    const WireResponse &response = valueOf(outcome);
    EXPECT_EQ(response.result_int(), GetParam().isIdempotent ? 200U : 502U);
    EXPECT_EQ(response.body().find('x'), std::string::npos);
    EXPECT_EQ(m_sends, GetParam().isIdempotent ? 2 : 1);
}

TEST_P(InvalidStatusTest, itIsNoPartOfAQuery)
{
    addQueryRoute({"s"}, 1);
    start();
    const WireResponse response = sendRequest("/all/1", "X-Deadline-Ms: 600\r\n");
    EXPECT_EQ(response.result_int(), 200U);
    EXPECT_EQ(response.body(), std::string(16, 'g'));
    EXPECT_EQ(m_sends, 2);
}

INSTANTIATE_TEST_SUITE_P(
    Heads, InvalidStatusTest,
    testing::Values(InvalidStatusCase{"zeros", "HTTP/1.1 000 X\r\n", true},
                    InvalidStatusCase{"zerosNonIdempotent", "HTTP/1.1 000 X\r\n", false},
                    InvalidStatusCase{"oneDigit", "HTTP/1.1 0 X\r\n", false},
                    InvalidStatusCase{"twoDigits", "HTTP/1.1 99 X\r\n", false},
                    InvalidStatusCase{"belowTheFirstClass", "HTTP/1.1 099 X\r\n", false},
                    InvalidStatusCase{"fourDigits", "HTTP/1.1 2000 X\r\n", false},
                    InvalidStatusCase{"aboveTheLastClass", "HTTP/1.1 600 X\r\n", false},
                    InvalidStatusCase{"aboveTheLastClassIdempotent", "HTTP/1.1 999 X\r\n", true},
                    InvalidStatusCase{"notANumber", "HTTP/1.1 2x0 X\r\n", false},
                    InvalidStatusCase{"olderVersion", "HTTP/0.9 200 X\r\n", false},
                    InvalidStatusCase{"noStatusLine", "200 OK\r\n", false}),
    [](const auto &info) { return info.param.name; });

} // namespace
} // namespace gwt::test
