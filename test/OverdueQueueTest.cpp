#include "gateway/policy/OverdueQueue.h"
#include "gateway/policy/CallerWaitEstimator.h"

#include <gtest/gtest.h>

#include <array>
#include <map>

namespace gwt {
namespace {

using namespace std::chrono_literals;

constexpr Duration target = 150ms;
constexpr Duration work = 20ms;
constexpr std::size_t slots = 4; ///< of a shard's servers together: 200 queries a second
constexpr std::size_t processes = 7;
constexpr Duration outage = 1500ms;
constexpr Duration arrivalGap = 11ms; ///< 90 queries a second
constexpr Duration played = 3s;

struct Served
{
    int inTime = 0;
    int onTimeCallers = 0; ///< those that came for the first time
    int overdue = 0;
    int overdueCallers = 0;

    double inTimeShare() const { return static_cast<double>(inTime) / onTimeCallers; }
};

/// \brief All hosts are back after an outage: the callers that failed come back within a tenth of a
/// second, while others come for the first time. A shard serves in order of arrival.
class ReturnModel
{
public:
    explicit ReturnModel(bool hasLanes)
        : m_hasLanes(hasLanes)
    { }

    Served play()
    {
        const auto returning = static_cast<int>(outage / arrivalGap);
        Duration nextFirst = 0ms;
        for (m_now = 0ms; m_now < played; m_now += 1ms) {
            if (m_now < 100ms) {
                for (int i = 0; i < returning / 100; ++i)
                    comeBack();
            }
            if (m_now >= nextFirst && m_now < 1s) {
                nextFirst += arrivalGap;
                ++m_served.onTimeCallers;
                const Duration arrivedAt = m_now;
                serve([this, arrivedAt] { m_served.inTime += m_now - arrivedAt <= target; });
            }
            finishDue();
        }
        return m_served;
    }

private:
    void comeBack()
    {
        ++m_served.overdueCallers;
        if (!m_hasLanes) {
            serve([this] { ++m_served.overdue; });
            return;
        }
        OverdueQueue &lane = m_lanes[m_turn++ % processes];
        const OverdueQueue::Id id = lane.newId();
        lane.add(id, [this, &lane, id] {
            serve([this, &lane, id] {
                ++m_served.overdue;
                lane.remove(id);
            });
        });
    }
    void serve(std::function<void()> onEnd)
    {
        Duration &slot = *std::min_element(m_slots.begin(), m_slots.end());
        slot = std::max(slot, m_now) + work;
        m_ends.emplace(slot, std::move(onEnd));
    }
    void finishDue()
    {
        while (!m_ends.empty() && m_ends.begin()->first <= m_now) {
            const auto onEnd = m_ends.extract(m_ends.begin()).mapped();
            onEnd();
        }
    }

    const bool m_hasLanes;
    Duration m_now{0};
    std::array<Duration, slots> m_slots{}; ///< when each is free
    std::multimap<Duration, std::function<void()>> m_ends;
    std::array<OverdueQueue, processes> m_lanes;
    std::size_t m_turn = 0;
    Served m_served;
};

TEST(ReturnAfterOutageTest, thoseThatComeForTheFirstTimeMakeTheirTarget)
{
    const Served alike = ReturnModel(false).play();
    const Served inLanes = ReturnModel(true).play();
    EXPECT_LT(alike.inTimeShare(), 0.6);
    EXPECT_GT(inLanes.inTimeShare(), 0.95);
    EXPECT_EQ(inLanes.overdue, inLanes.overdueCallers);
    EXPECT_EQ(alike.overdue, alike.overdueCallers);
}

TEST(OverdueLaneTest, oneStartsWhenTheOneBeforeHasEnded)
{
    OverdueQueue lane;
    std::vector<OverdueQueue::Id> started;
    for (OverdueQueue::Id id = 1; id <= 4; ++id)
        lane.add(id, [&started, id] { started.push_back(id); });
    EXPECT_EQ(started, (std::vector<OverdueQueue::Id>{1}));
    lane.remove(3); // its caller has left
    EXPECT_EQ(lane.waiting(), 2U);
    lane.remove(1);
    lane.remove(2);
    EXPECT_EQ(started, (std::vector<OverdueQueue::Id>{1, 2, 4}));
    EXPECT_FALSE(lane.isEmpty());
    lane.remove(4);
    EXPECT_TRUE(lane.isEmpty());
}

TEST(OverdueLaneTest, oneThatEndsAsItStartsLetsTheNextOneStart)
{
    OverdueQueue lane;
    int started = 0;
    lane.add(1, [] {});
    for (OverdueQueue::Id id = 2; id <= 4; ++id) {
        lane.add(id, [&lane, &started, id] {
            ++started;
            lane.remove(id);
        });
    }
    lane.remove(1);
    EXPECT_EQ(started, 3);
    EXPECT_TRUE(lane.isEmpty());
}

struct PatienceCase
{
    const char *name;
    std::vector<Milliseconds> before; ///< allowed by callers before, repeated
    Milliseconds allowed;
    Duration waited;
};

class CallerPatienceTest : public testing::TestWithParam<PatienceCase>
{ };

TEST_P(CallerPatienceTest, whoComesBackIsToldByTheTimeThatIsLeft)
{
    CallerWaitEstimator patience;
    for (int round = 0; round < 20; ++round) {
        for (const Milliseconds allowed : GetParam().before)
            patience.waitedBefore("route", allowed);
    }
    EXPECT_EQ(patience.waitedBefore("route", GetParam().allowed), GetParam().waited);
    EXPECT_EQ(patience.waitedBefore("other", GetParam().allowed), 0ms);
}

INSTANTIATE_TEST_SUITE_P(
    Callers, CallerPatienceTest,
    testing::Values(PatienceCase{"first", {}, 2500ms, 0ms},
                    PatienceCase{"calm", {2500ms, 2497ms, 2500ms}, 2497ms, 3ms},
                    PatienceCase{"comesBack", {2500ms}, 1500ms, 1s},
                    PatienceCase{"mostComeBack", {1500ms, 600ms, 2500ms, 1490ms}, 1500ms, 1s},
                    PatienceCase{"morePatientThanOthers", {2500ms}, 10s, 0ms},
                    PatienceCase{"oneInTwentyIsMorePatient",
                                 std::vector<Milliseconds>{10s, 1s, 1s, 1s, 1s, 1s, 1s, 1s, 1s, 1s,
                                                           1s,  1s, 1s, 1s, 1s, 1s, 1s, 1s, 1s, 1s},
                                 1s, 0s}),
    [](const auto &info) { return std::string(info.param.name); });

} // namespace
} // namespace gwt
