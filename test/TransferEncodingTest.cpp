#include "GatewayFixture.h"

namespace gwt::test {
namespace {

struct EncodingCase
{
    std::string name;
    std::string fields;
    std::string body;
    unsigned status;
};

class TransferEncodingTest : public GatewayTest, public testing::WithParamInterface<EncodingCase>
{ };

// Guards against a request that is smuggled inside the body of another one, whose length the
// gateway can't know.
TEST_P(TransferEncodingTest, onlyABodyOfKnownLengthIsAccepted)
{
    const EncodingCase &encoding = GetParam();
    ScriptedServer &server = addServer("s", {okResponse("ok")});
    addSingleRoute(false);
    start();
    const std::string smuggled = "GET /one/2 HTTP/1.1\r\nHost: h\r\nX-Request-Id: id-2\r\n\r\n";
    const auto caller = connect();
    std::optional<Outcome<WireResponse>> result;
    caller->exchange("POST /one/1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: id-1\r\n" + encoding.fields
                         + "\r\n" + encoding.body + (encoding.status == 400 ? smuggled : ""),
                     false, nullptr,
                     [&](Outcome<WireResponse> outcome) { result = std::move(outcome); });
    ASSERT_TRUE(runUntil(m_context, [&] { return result.has_value(); }));
    ASSERT_TRUE(isOk(*result)) << errorOf(*result).reason;
    EXPECT_EQ(valueOf(*result).result_int(), encoding.status);
    runFor(20ms);
    EXPECT_EQ(server.requests().size(), encoding.status == 200 ? 1U : 0U);
}

INSTANTIATE_TEST_SUITE_P(
    Encodings, TransferEncodingTest,
    testing::Values(
        EncodingCase{"chunked", "Transfer-Encoding: chunked\r\n", "2\r\nab\r\n0\r\n\r\n", 200},
        EncodingCase{"gzip", "Transfer-Encoding: gzip\r\n", "", 400},
        EncodingCase{"chunkedBeforeGzip", "Transfer-Encoding: chunked, gzip\r\n", "", 400},
        EncodingCase{"identity", "Transfer-Encoding: identity\r\n", "", 400}),
    [](const auto &info) { return info.param.name; });

} // namespace
} // namespace gwt::test
