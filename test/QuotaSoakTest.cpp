#include "soak/QuotaSoak.h"

#include <gtest/gtest.h>

namespace gwt::test {
namespace {

using namespace std::chrono_literals;

struct QuotaSoakCase
{
    std::string name;
    std::uint64_t seed;
    std::vector<std::string> faults; ///< empty: all
};

class QuotaSoakTest : public testing::TestWithParam<QuotaSoakCase>
{ };

// Guards against two processes that grant under one lease, because a coordinator that was cut off
// with refused connections was taken for one that had ended (review case 11).
TEST_P(QuotaSoakTest, noTeamExceedsItsQuota)
{
    QuotaSoakOptions options;
    options.seed = GetParam().seed;
    options.duration = 8s;
    options.faults = GetParam().faults;
    QuotaSoak soak(options);
    EXPECT_EQ(soak.run(), std::vector<std::string>{}) << "logs: " << soak.folder();
}

INSTANTIATE_TEST_SUITE_P(Faults, QuotaSoakTest,
                         testing::Values(QuotaSoakCase{"cutOff", 1, {"cut off"}},
                                         QuotaSoakCase{"all", 2, {}}),
                         [](const auto &info) { return info.param.name; });

} // namespace
} // namespace gwt::test
