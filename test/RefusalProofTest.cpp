#include "GatewayFixture.h"

namespace gwt::test {
namespace {

constexpr const char *notRunField = "X-Not-Executed: 1\r\n";

struct RefusalCase
{
    std::string name;
    unsigned backendStatus;
    bool statesNotRun; ///< the response of the backend server has X-Not-Executed
    unsigned callerStatus;
};

class RefusalProofTest : public GatewayTest,
                         public testing::WithParamInterface<std::tuple<RefusalCase, bool>>
{ };

// Guards against a status that promises that a request has not run, when a backend server has sent
// that status without saying so.
TEST_P(RefusalProofTest, aStatusThatPromisesNotRunIsSentOnlyWithProof)
{
    const auto &[refusal, isIdempotent] = GetParam();
    const std::string fields = signatureField + (refusal.statesNotRun ? notRunField : "");
    const std::string bytes
        = httpResponse(static_cast<int>(refusal.backendStatus), fields, "database lost");
    addServer("s", {bytes});
    addServer("s", {bytes});
    addSingleRoute(isIdempotent);
    start();
    const WireResponse response = sendRequest("/one/1", "X-Deadline-Ms: 600\r\n");
    EXPECT_EQ(response.result_int(), refusal.callerStatus);
    // A signed response is the backend server's own, unchanged.
    const bool isForwarded = refusal.callerStatus == refusal.backendStatus && !refusal.statesNotRun
        && refusal.backendStatus != 421;
    EXPECT_EQ(fieldOf(response, "X-Server-Stamp"), isForwarded ? "signed" : "");
    EXPECT_EQ(response.body() == "database lost", isForwarded);
    EXPECT_EQ(fieldOf(response, "Retry-After").empty(), refusal.callerStatus != 503);
}

INSTANTIATE_TEST_SUITE_P(
    Statuses, RefusalProofTest,
    testing::Combine(testing::Values(RefusalCase{"unavailable", 503, false, 502},
                                     RefusalCase{"unavailableNotRun", 503, true, 503},
                                     RefusalCase{"tooMany", 429, false, 502},
                                     RefusalCase{"tooManyNotRun", 429, true, 503},
                                     RefusalCase{"timeout", 408, false, 502},
                                     RefusalCase{"timeoutNotRun", 408, true, 503},
                                     RefusalCase{"misdirected", 421, false, 503},
                                     RefusalCase{"misdirectedNotRun", 421, true, 503},
                                     RefusalCase{"error", 500, false, 500},
                                     RefusalCase{"deadline", 504, false, 504},
                                     RefusalCase{"conflict", 409, false, 409}),
                     testing::Bool()),
    [](const auto &info) {
        return std::get<0>(info.param).name
            + (std::get<1>(info.param) ? "Idempotent" : "NonIdempotent");
    });

} // namespace
} // namespace gwt::test
