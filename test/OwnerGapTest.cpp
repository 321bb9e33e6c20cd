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
class AnswerGapMonitor
{
public:
    explicit AnswerGapMonitor(ProcessFleet &fleet)
        : m_fleet(fleet)
    {
        for (int i = 0; i < searchers; ++i)
            m_threads.emplace_back([this, i] { searchAll(i % fleetHosts + 1); });
    }

    ~AnswerGapMonitor()
    {
        m_isStopping = true;
        for (std::thread &thread : m_threads)
            thread.join();
    }

    void reset()
    {
        const std::lock_guard lock(m_mutex);
        m_lastAnswerTime = Clock::now();
        m_longestGap = Duration::zero();
    }

    /// \brief Longest time since reset(), up to now if no complete answer ended it.
    Milliseconds longestGap()
    {
        const std::lock_guard lock(m_mutex);
        const Duration longest = std::max(m_longestGap, Clock::now() - m_lastAnswerTime);
        return std::chrono::duration_cast<Milliseconds>(longest);
    }

private:
    void searchAll(int host)
    {
        while (!m_isStopping) {
            const HttpResponse response = m_fleet.search(host, "desk");
            if (response.body.find("\"missing\":[]") == std::string::npos)
                continue;
            const std::lock_guard lock(m_mutex);
            const TimePoint now = Clock::now();
            m_longestGap = std::max(m_longestGap, now - m_lastAnswerTime);
            m_lastAnswerTime = now;
        }
    }

    ProcessFleet &m_fleet;
    std::atomic<bool> m_isStopping = false;
    std::mutex m_mutex; ///< guards m_lastAnswerTime and m_longestGap
    TimePoint m_lastAnswerTime = Clock::now();
    Duration m_longestGap = Duration::zero();
    std::vector<std::thread> m_threads;
};

struct ExitCase
{
    const char *name;
    int signal;
};

class OwnerGapTest : public testing::TestWithParam<ExitCase>
{ };

TEST_P(OwnerGapTest, aSliceOfTwoSlotServersHasAnOwnerAgainWithinTheBound)
{
    ProcessFleet fleet(ProcessFleetOptions{});
    ASSERT_TRUE(fleet.start());
    for (int host = 1; host <= fleetHosts; ++host) {
        for (const std::string &name : ProcessFleet::daemonsOf(host))
            ASSERT_TRUE(fleet.waitForReadyMembers(name, fleetHosts * 3));
    }
    AnswerGapMonitor monitor(fleet);
    for (const std::string name : {"relay-1", "relay-2", "relay-3"}) {
        monitor.reset();
        fleet.signal(name, GetParam().signal);
        fleet.waitExit(name);
        EXPECT_TRUE(fleet.waitForReadyMembers("entry-1", fleetHosts * 3 - 1));
        const Milliseconds gap = monitor.longestGap();
        EXPECT_LT(gap, maxGap) << name;
        std::printf("%s %s: %ld ms without a complete answer\n", name.c_str(), GetParam().name,
                    static_cast<long>(gap.count()));
        fleet.spawn(name);
        ASSERT_TRUE(fleet.waitReady(name));
        for (int host = 1; host <= fleetHosts; ++host)
            ASSERT_TRUE(fleet.waitForReadyMembers("relay-" + std::to_string(host), fleetHosts * 3));
    }
}

INSTANTIATE_TEST_SUITE_P(Exits, OwnerGapTest,
                         testing::Values(ExitCase{"killed", SIGKILL}, ExitCase{"stopped", SIGTERM}),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
} // namespace gwt
