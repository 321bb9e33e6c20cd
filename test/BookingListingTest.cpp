#include "BookingFaultScenario.h"

#include <boost/asio/use_future.hpp>
#include <gmock/gmock.h>

namespace gwt {
namespace {

using namespace std::chrono_literals;

constexpr Milliseconds releaseTimeout{6000}; ///< longer than the rounds before a range is released
constexpr Milliseconds listingTime{600}; ///< entries listed before a release are removed by then
constexpr Milliseconds firstCheckTime{2500}; ///< a new process has checked all ranges by then

bool holdsNoRange(BookingProcess &process)
{
    return process.engine().statusJson().find("\"ranges_held\":0") != std::string::npos;
}

/// \brief Leaves each booking without an outcome in the journal of its holder.
void bookWithoutOutcome(BookingFaultScenario &scenario)
{
    scenario.setRepliesLost(true);
    scenario.sendAll(0);
    scenario.waitForCallers();
    scenario.setRepliesLost(false);
}

/// \brief Releases the ranges of a holder that stays a member and their preferred holder.
void holderReleases(BookingFaultScenario &scenario)
{
    std::this_thread::sleep_for(firstCheckTime);
    bookWithoutOutcome(scenario);
    BookingProcess &holder = scenario.cluster().booking("a");
    asio::co_spawn(holder.workers().strand(), holder.engine().handOver(), asio::use_future).get();
}

/// \brief Lets "b" hold the ranges while "a" is away and release them once "a" is back.
void rangesMoveToTheirOwner(BookingFaultScenario &scenario)
{
    scenario.cluster().hide("a");
    bookWithoutOutcome(scenario);
    scenario.cluster().showAll();
    const TimePoint end = Clock::now() + releaseTimeout;
    while (!holdsNoRange(scenario.cluster().booking("b")) && Clock::now() < end)
        std::this_thread::sleep_for(settlePoll);
    EXPECT_TRUE(holdsNoRange(scenario.cluster().booking("b")));
}

struct ReleaseCase
{
    const char *name;
    void (*release)(BookingFaultScenario &scenario);
};

void PrintTo(const ReleaseCase &release, std::ostream *out)
{
    *out << release.name;
}

class BookingListingTest : public testing::TestWithParam<ReleaseCase>
{ };

TEST_P(BookingListingTest, aBookingWithoutAnOutcomeIsListedAfterItsRangeWasReleased)
{
    constexpr unsigned seed = 2;
    BookingFaultScenario scenario(seed);
    GetParam().release(scenario);
    std::this_thread::sleep_for(listingTime);
    scenario.checkUnsettledListed();
    EXPECT_THAT(scenario.violations(), testing::IsEmpty());
}

INSTANTIATE_TEST_SUITE_P(Releases, BookingListingTest,
                         testing::Values(ReleaseCase{"holderReleases", holderReleases},
                                         ReleaseCase{"rangesMoveToTheirOwner",
                                                     rangesMoveToTheirOwner}),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
} // namespace gwt
