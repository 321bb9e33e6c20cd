#include "BookingFaultScenario.h"

#include <boost/asio/use_future.hpp>
#include <gmock/gmock.h>

namespace gwt {
namespace {

using namespace std::chrono_literals;

constexpr Milliseconds handOverTimeout{6000}; ///< longer than the rounds before a range is released
constexpr Milliseconds listingTime{600}; ///< entries listed before a release are removed by then
constexpr Milliseconds firstLookTime{2500}; ///< a new process has checked all ranges by then

bool holdsNothing(BookingProcess &process)
{
    return process.engine().statusJson().find("\"ranges_held\":0") != std::string::npos;
}

/// \brief Leaves each booking without an outcome in the journal of its holder.
void bookWithoutOutcome(BookingFaultScenario &run)
{
    run.setRepliesLost(true);
    run.sendAll(0);
    run.waitForCallers();
    run.setRepliesLost(false);
}

/// \brief Releases the ranges of a holder that stays a member and their preferred holder.
void holderReleases(BookingFaultScenario &run)
{
    std::this_thread::sleep_for(firstLookTime);
    bookWithoutOutcome(run);
    BookingProcess &holder = run.world().booking("a");
    asio::co_spawn(holder.workers().strand(), holder.engine().handOver(), asio::use_future).get();
}

/// \brief Lets "b" hold the ranges while "a" is away and release them once "a" is back.
void rangesMoveToTheirOwner(BookingFaultScenario &run)
{
    run.world().hide("a");
    bookWithoutOutcome(run);
    run.world().showAll();
    const TimePoint end = Clock::now() + handOverTimeout;
    while (!holdsNothing(run.world().booking("b")) && Clock::now() < end)
        std::this_thread::sleep_for(settlePoll);
    EXPECT_TRUE(holdsNothing(run.world().booking("b")));
}

struct ReleaseCase
{
    const char *name;
    void (*release)(BookingFaultScenario &run);
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
    BookingFaultScenario run(seed);
    GetParam().release(run);
    std::this_thread::sleep_for(listingTime);
    run.judgeListing();
    EXPECT_THAT(run.broken(), testing::IsEmpty());
}

INSTANTIATE_TEST_SUITE_P(Releases, BookingListingTest,
                         testing::Values(ReleaseCase{"holderReleases", holderReleases},
                                         ReleaseCase{"rangesMoveToTheirOwner",
                                                     rangesMoveToTheirOwner}),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
} // namespace gwt
