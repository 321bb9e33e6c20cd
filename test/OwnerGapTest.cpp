#include "ProcessFleet.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <mutex>
#include <thread>

namespace gwt {
namespace {

using namespace std::chrono_literals;

constexpr int fleetHosts = 3;
constexpr int searchers = 4;
/// \brief A refused connection proves an end at once; the rest is one search on a busy machine.
constexpr Milliseconds maxGap{500};

/// \brief Searches all slices continuously and measures the longest time without a complete answer.
class WholeAnswers
{
public:
    explicit WholeAnswers(ProcessFleet &fleet)
        : m_fleet(fleet)
    {
        for (int i = 0; i < searchers; ++i)
            m_threads.emplace_back([this, i] { searchAll(i % fleetHosts + 1); });
    }

    ~WholeAnswers()
    {
        m_isEnding = true;
        for (std::thread &thread : m_threads)
            thread.join();
    }

    void startAnew()
    {
        const std::lock_guard lock(m_mutex);
        m_last = Clock::now();
        m_longest = Duration::zero();
    }

    /// \brief Longest time since startAnew(), up to now if no complete answer ended it.
    Milliseconds longestGap()
    {
        const std::lock_guard lock(m_mutex);
        const Duration longest = std::max(m_longest, Clock::now() - m_last);
        return std::chrono::duration_cast<Milliseconds>(longest);
    }

private:
    void searchAll(int host)
    {
        while (!m_isEnding) {
            const HttpResponse response = m_fleet.search(host, "desk");
            if (response.body.find("\"missing\":[]") == std::string::npos)
                continue;
            const std::lock_guard lock(m_mutex);
            const TimePoint now = Clock::now();
            m_longest = std::max(m_longest, now - m_last);
            m_last = now;
        }
    }

    ProcessFleet &m_fleet;
    std::atomic<bool> m_isEnding = false;
    std::mutex m_mutex; ///< guards m_last and m_longest
    TimePoint m_last = Clock::now();
    Duration m_longest = Duration::zero();
    std::vector<std::thread> m_threads;
};

struct EndCase
{
    const char *name;
    int signal;
};

class OwnerGapTest : public testing::TestWithParam<EndCase>
{ };

TEST_P(OwnerGapTest, aSliceOfServersWithTwoSlotsSoonHasAnOwnerAgain)
{
    ProcessFleet fleet(ProcessFleetOptions{});
    ASSERT_TRUE(fleet.start());
    for (int host = 1; host <= fleetHosts; ++host) {
        for (const std::string &name : ProcessFleet::daemonsOf(host))
            ASSERT_TRUE(fleet.waitForReadyMembers(name, fleetHosts * 3));
    }
    WholeAnswers answers(fleet);
    for (const std::string name : {"relay-1", "relay-2", "relay-3"}) {
        answers.startAnew();
        fleet.signal(name, GetParam().signal);
        fleet.waitExit(name);
        EXPECT_TRUE(fleet.waitForReadyMembers("entry-1", fleetHosts * 3 - 1));
        const Milliseconds gap = answers.longestGap();
        EXPECT_LT(gap, maxGap) << name;
        std::printf("%s %s: %ld ms without a complete answer\n", name.c_str(), GetParam().name,
                    static_cast<long>(gap.count()));
        fleet.spawn(name);
        ASSERT_TRUE(fleet.waitReady(name));
        for (int host = 1; host <= fleetHosts; ++host)
            ASSERT_TRUE(fleet.waitForReadyMembers("relay-" + std::to_string(host), fleetHosts * 3));
    }
}

INSTANTIATE_TEST_SUITE_P(Ends, OwnerGapTest,
                         testing::Values(EndCase{"killed", SIGKILL}, EndCase{"stopped", SIGTERM}),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
} // namespace gwt
