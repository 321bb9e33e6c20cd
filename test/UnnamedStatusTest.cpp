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

} // namespace
} // namespace gwt::test
