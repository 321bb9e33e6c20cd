#include "soak/Soak.h"

#include <gtest/gtest.h>

namespace gwt::test {
namespace {

using namespace std::chrono_literals;

/// Short runs with fixed seeds; `gwt-soak` runs longer ones and fresh seeds.
class GatewaySoakTest : public testing::TestWithParam<std::uint64_t>
{ };

TEST_P(GatewaySoakTest, noPromiseIsBrokenUnderOverlappingFaults)
{
    SoakOptions options;
    options.seed = GetParam();
    options.length = 5s;
    Soak soak(options);
    EXPECT_EQ(soak.run(), std::vector<std::string>{}) << "logs: " << soak.folder();
    EXPECT_GT(soak.findings().served, 0);
}

INSTANTIATE_TEST_SUITE_P(Seeds, GatewaySoakTest, testing::Values(1, 2, 3));

} // namespace
} // namespace gwt::test
