#include "BookingFaultScenario.h"

#include <gmock/gmock.h>

#include <thread>

namespace gwt {
namespace {

using namespace std::chrono_literals;

constexpr int seedCount = 3;
constexpr Milliseconds faultTime{450}; ///< longer than the hold and the commit timeout
constexpr Milliseconds adoptionTime{2500}; ///< longer than one check of all ranges
constexpr Milliseconds reachTimeout{3000};

void rest(Milliseconds time = faultTime)
{
    std::this_thread::sleep_for(time);
}

using Inject = void (*)(BookingFaultScenario &run);

void setStore(BookingCluster &world, void (*change)(PlatformFaults &))
{
    PlatformFaults faults;
    change(faults);
    world.platform().setFaults(faults);
}

/// \brief Hides the holder from the membership and sends the bookings through the other entry.
void retryElsewhere(BookingFaultScenario &run, const std::string &unaware = "")
{
    run.world().hide("a", unaware);
    run.sendAll(1);
    rest();
}

void injectNothing(BookingFaultScenario &run)
{
    run.world().trap().letGo();
    run.sendAll(1);
}

void freezeFor(BookingFaultScenario &run, Milliseconds time)
{
    run.world().booking("a").freeze();
    retryElsewhere(run);
    rest(time);
    run.world().trap().letGo();
    run.world().booking("a").resume();
    rest(50ms); // the holder continues with its outdated state
    run.world().showAll();
}

void freezeHolder(BookingFaultScenario &run)
{
    freezeFor(run, 0ms);
}

void freezeBeyondTheCall(BookingFaultScenario &run)
{
    freezeFor(run, 5500ms);
}

void killHolder(BookingFaultScenario &run)
{
    run.world().kill("a");
    run.world().trap().letGo();
    retryElsewhere(run);
    run.world().start("a");
    run.world().showAll();
}

void restartHolder(BookingFaultScenario &run)
{
    run.world().kill("a");
    run.world().trap().letGo();
    run.world().start("a");
    run.sendAll(1);
}

void cutHolder(BookingFaultScenario &run)
{
    run.world().booking("a").cutOff();
    retryElsewhere(run);
    run.world().trap().letGo();
    rest(50ms);
    run.world().kill("a");
    run.world().start("a");
    run.world().showAll();
}

void takeOver(BookingFaultScenario &run)
{
    retryElsewhere(run, "a");
    run.world().trap().letGo();
    rest(50ms);
    run.world().showAll();
}

void freezeRelay(BookingFaultScenario &run)
{
    run.world().relay().freeze();
    run.world().trap().letGo();
    run.sendAll(1);
    rest();
    run.world().relay().resume();
}

void killRelay(BookingFaultScenario &run)
{
    run.world().killRelay();
    run.world().trap().letGo();
    run.sendAll(1);
    rest(100ms);
    run.world().startRelay();
}

void cutRelay(BookingFaultScenario &run)
{
    run.world().relay().cut();
    run.world().trap().letGo();
    run.sendAll(1);
}

void storeDown(BookingFaultScenario &run)
{
    setStore(run.world(), [](PlatformFaults &faults) { faults.isDown = true; });
    run.world().trap().letGo();
    run.sendAll(1);
    rest();
    setStore(run.world(), [](PlatformFaults &) {});
}

void storeSilent(BookingFaultScenario &run)
{
    setStore(run.world(), [](PlatformFaults &faults) { faults.isSilent = true; });
    run.world().trap().letGo();
    run.sendAll(1);
    rest();
    setStore(run.world(), [](PlatformFaults &) {});
}

void loseStoreReplies(BookingFaultScenario &run)
{
    setStore(run.world(), [](PlatformFaults &faults) {
        faults.loseWriteReplies = 3;
        faults.loseReplyPrefix = "bookings/";
    });
    run.world().trap().loseReply();
    run.world().trap().letGo();
    run.sendAll(1);
}

void delayStoreWrites(BookingFaultScenario &run)
{
    setStore(run.world(), [](PlatformFaults &faults) { faults.lateEffect = 300ms; });
    run.world().trap().letGo();
    run.sendAll(1);
    rest(100ms);
    setStore(run.world(), [](PlatformFaults &) {});
}

void loseBackendReplies(BookingFaultScenario &run)
{
    run.setRepliesLost(true);
    run.world().trap().letGo();
    run.sendAll(1);
    rest();
    run.setRepliesLost(false);
}

/// \brief Kills the holder while the store is down.
void killHolderInOutage(BookingFaultScenario &run)
{
    setStore(run.world(), [](PlatformFaults &faults) { faults.isDown = true; });
    killHolder(run);
    rest(adoptionTime);
    setStore(run.world(), [](PlatformFaults &) {});
}

struct FaultCase
{
    const char *name;
    Inject inject;
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

std::vector<std::string> runSeed(unsigned seed, FaultPoint point, Inject inject)
{
    BookingFaultScenario run(seed);
    const bool isRelease = point == FaultPoint::BeforeRelease || point == FaultPoint::AfterRelease;
    if (!isRelease)
        run.world().trap().arm(point);
    else
        run.handOver(point);
    run.sendAll(0);
    if (run.isDoubled())
        run.sendAll(1);
    const bool isReached = run.world().trap().waitUntilReached(reachTimeout);
    if (isReached)
        inject(run);
    run.world().trap().letGo();
    run.waitForCallers();
    if (inject == injectNothing)
        run.judgeNoUnknown();
    std::vector<std::string> broken = run.judge();
    if (!isReached)
        broken.emplace_back("the point was not reached");
    return broken;
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

TEST_P(BookingStepFaultTest, noBookingIsLostOrDoubled)
{
    const FaultCase fault = std::get<0>(GetParam());
    const PointCase point = std::get<1>(GetParam());
    std::vector<std::vector<std::string>> broken(static_cast<std::size_t>(fault.seeds));
    std::vector<std::thread> seeds;
    for (std::size_t seed = 0; seed < broken.size(); ++seed) {
        seeds.emplace_back([&broken, seed, &fault, &point] {
            broken[seed] = runSeed(static_cast<unsigned>(seed) + 1, point.point, fault.inject);
        });
    }
    for (std::thread &seed : seeds)
        seed.join();
    for (const auto &faults : broken)
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
