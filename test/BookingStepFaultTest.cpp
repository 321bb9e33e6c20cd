#include "BookingFaultScenario.h"

#include <gmock/gmock.h>

#include <thread>

namespace gwt {
namespace {

using namespace std::chrono_literals;

constexpr int seedCount = 3;
constexpr Milliseconds faultDuration{450}; ///< longer than the hold and the commit timeout
constexpr Milliseconds adoptionTime{2500}; ///< longer than one check of all ranges
constexpr Milliseconds reachTimeout{3000};

void waitFor(Milliseconds time = faultDuration)
{
    std::this_thread::sleep_for(time);
}

using FaultInjector = void (*)(BookingFaultScenario &scenario);

void setStore(BookingCluster &cluster, void (*change)(PlatformFaults &))
{
    PlatformFaults faults;
    change(faults);
    cluster.platform().setFaults(faults);
}

/// \brief Hides the holder from the membership and sends the bookings through the other entry.
void retryThroughOtherEntry(BookingFaultScenario &scenario, const std::string &unaware = "")
{
    scenario.cluster().hide("a", unaware);
    scenario.sendAll(1);
    waitFor();
}

void injectNothing(BookingFaultScenario &scenario)
{
    scenario.cluster().breakpoint().release();
    scenario.sendAll(1);
}

void freezeFor(BookingFaultScenario &scenario, Milliseconds time)
{
    scenario.cluster().booking("a").freeze();
    retryThroughOtherEntry(scenario);
    waitFor(time);
    scenario.cluster().breakpoint().release();
    scenario.cluster().booking("a").resume();
    waitFor(50ms); // the holder continues with its outdated state
    scenario.cluster().showAll();
}

void freezeHolder(BookingFaultScenario &scenario)
{
    freezeFor(scenario, 0ms);
}

void freezeBeyondTheCall(BookingFaultScenario &scenario)
{
    freezeFor(scenario, 5500ms);
}

void killHolder(BookingFaultScenario &scenario)
{
    scenario.cluster().kill("a");
    scenario.cluster().breakpoint().release();
    retryThroughOtherEntry(scenario);
    scenario.cluster().start("a");
    scenario.cluster().showAll();
}

void restartHolder(BookingFaultScenario &scenario)
{
    scenario.cluster().kill("a");
    scenario.cluster().breakpoint().release();
    scenario.cluster().start("a");
    scenario.sendAll(1);
}

void cutHolder(BookingFaultScenario &scenario)
{
    scenario.cluster().booking("a").closeServer();
    retryThroughOtherEntry(scenario);
    scenario.cluster().breakpoint().release();
    waitFor(50ms);
    scenario.cluster().kill("a");
    scenario.cluster().start("a");
    scenario.cluster().showAll();
}

void takeOver(BookingFaultScenario &scenario)
{
    retryThroughOtherEntry(scenario, "a");
    scenario.cluster().breakpoint().release();
    waitFor(50ms);
    scenario.cluster().showAll();
}

void freezeRelay(BookingFaultScenario &scenario)
{
    scenario.cluster().relay().freeze();
    scenario.cluster().breakpoint().release();
    scenario.sendAll(1);
    waitFor();
    scenario.cluster().relay().resume();
}

void killRelay(BookingFaultScenario &scenario)
{
    scenario.cluster().killRelay();
    scenario.cluster().breakpoint().release();
    scenario.sendAll(1);
    waitFor(100ms);
    scenario.cluster().startRelay();
}

void cutRelay(BookingFaultScenario &scenario)
{
    scenario.cluster().relay().dropSessions();
    scenario.cluster().breakpoint().release();
    scenario.sendAll(1);
}

void storeDown(BookingFaultScenario &scenario)
{
    setStore(scenario.cluster(), [](PlatformFaults &faults) { faults.isDown = true; });
    scenario.cluster().breakpoint().release();
    scenario.sendAll(1);
    waitFor();
    setStore(scenario.cluster(), [](PlatformFaults &) {});
}

void storeSilent(BookingFaultScenario &scenario)
{
    setStore(scenario.cluster(), [](PlatformFaults &faults) { faults.isSilent = true; });
    scenario.cluster().breakpoint().release();
    scenario.sendAll(1);
    waitFor();
    setStore(scenario.cluster(), [](PlatformFaults &) {});
}

void loseStoreReplies(BookingFaultScenario &scenario)
{
    setStore(scenario.cluster(), [](PlatformFaults &faults) {
        faults.loseWriteReplies = 3;
        faults.loseReplyPrefix = "bookings/";
    });
    scenario.cluster().breakpoint().loseReply();
    scenario.cluster().breakpoint().release();
    scenario.sendAll(1);
}

void delayStoreWrites(BookingFaultScenario &scenario)
{
    setStore(scenario.cluster(), [](PlatformFaults &faults) { faults.lateEffect = 300ms; });
    scenario.cluster().breakpoint().release();
    scenario.sendAll(1);
    waitFor(100ms);
    setStore(scenario.cluster(), [](PlatformFaults &) {});
}

void loseBackendReplies(BookingFaultScenario &scenario)
{
    scenario.setRepliesLost(true);
    scenario.cluster().breakpoint().release();
    scenario.sendAll(1);
    waitFor();
    scenario.setRepliesLost(false);
}

/// \brief Kills the holder while the store is down.
void killHolderInOutage(BookingFaultScenario &scenario)
{
    setStore(scenario.cluster(), [](PlatformFaults &faults) { faults.isDown = true; });
    killHolder(scenario);
    waitFor(adoptionTime);
    setStore(scenario.cluster(), [](PlatformFaults &) {});
}

struct FaultCase
{
    const char *name;
    FaultInjector inject;
    int seeds = seedCount;
};

struct PointCase
{
    const char *name;
    FaultPoint point;
};

const FaultCase faultCases[] = {{"injectNothing", injectNothing},
                                {"freezeHolder", freezeHolder},
                                {"freezeBeyondTheCall", freezeBeyondTheCall, 1},
                                {"killHolder", killHolder},
                                {"restartHolder", restartHolder},
                                {"killHolderInOutage", killHolderInOutage},
                                {"cutHolder", cutHolder},
                                {"takeOver", takeOver},
                                {"freezeRelay", freezeRelay},
                                {"killRelay", killRelay},
                                {"cutRelay", cutRelay},
                                {"storeDown", storeDown},
                                {"storeSilent", storeSilent},
                                {"loseStoreReplies", loseStoreReplies},
                                {"delayStoreWrites", delayStoreWrites},
                                {"loseBackendReplies", loseBackendReplies}};

const PointCase pointCases[]
    = {{"beforeAcquire", FaultPoint::BeforeAcquire}, {"afterAcquire", FaultPoint::AfterAcquire},
       {"beforeReserve", FaultPoint::BeforeReserve}, {"afterReserve", FaultPoint::AfterReserve},
       {"beforeSent", FaultPoint::BeforeSent},       {"afterSent", FaultPoint::AfterSent},
       {"beforeExecute", FaultPoint::BeforeExecute}, {"afterExecute", FaultPoint::AfterExecute},
       {"beforeResult", FaultPoint::BeforeResult},   {"afterResult", FaultPoint::AfterResult},
       {"beforeRelease", FaultPoint::BeforeRelease}, {"afterRelease", FaultPoint::AfterRelease}};

std::vector<std::string> runSeed(unsigned seed, FaultPoint point, FaultInjector inject)
{
    BookingFaultScenario scenario(seed);
    const bool isRelease = point == FaultPoint::BeforeRelease || point == FaultPoint::AfterRelease;
    if (!isRelease)
        scenario.cluster().breakpoint().arm(point);
    else
        scenario.shutDownHolder(point);
    scenario.sendAll(0);
    if (scenario.isSentTwice())
        scenario.sendAll(1);
    const bool isReached = scenario.cluster().breakpoint().waitUntilReached(reachTimeout);
    if (isReached)
        inject(scenario);
    scenario.cluster().breakpoint().release();
    scenario.waitForCallers();
    if (inject == injectNothing)
        scenario.checkNoUnknown();
    std::vector<std::string> violations = scenario.check();
    if (!isReached)
        violations.emplace_back("the point was not reached");
    return violations;
}

void PrintTo(const FaultCase &fault, std::ostream *out)
{
    *out << fault.name;
}

void PrintTo(const PointCase &point, std::ostream *out)
{
    *out << point.name;
}

class BookingStepFaultTest : public testing::TestWithParam<std::tuple<FaultCase, PointCase>>
{ };

TEST_P(BookingStepFaultTest, noBookingIsLostOrRunTwice)
{
    const FaultCase fault = std::get<0>(GetParam());
    const PointCase point = std::get<1>(GetParam());
    std::vector<std::vector<std::string>> violations(static_cast<std::size_t>(fault.seeds));
    std::vector<std::thread> seeds;
    for (std::size_t seed = 0; seed < violations.size(); ++seed) {
        seeds.emplace_back([&violations, seed, &fault, &point] {
            violations[seed] = runSeed(static_cast<unsigned>(seed) + 1, point.point, fault.inject);
        });
    }
    for (std::thread &seed : seeds)
        seed.join();
    for (const auto &faults : violations)
        EXPECT_THAT(faults, testing::IsEmpty());
}

INSTANTIATE_TEST_SUITE_P(Steps, BookingStepFaultTest,
                         testing::Combine(testing::ValuesIn(faultCases),
                                          testing::ValuesIn(pointCases)),
                         [](const auto &info) {
                             return std::string(std::get<0>(info.param).name) + "_"
                                 + std::get<1>(info.param).name;
                         });

} // namespace
} // namespace gwt
