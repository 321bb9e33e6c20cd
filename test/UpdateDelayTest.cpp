#include "gateway/sharing/StateSharing.h"
#include "platform/PlatformFeed.h"

#include "LoopbackAddress.h"
#include "soak/LoopbackProxy.h"
#include "standins/platform/FakePlatform.h"

#include <gtest/gtest.h>

#include <thread>

namespace gwt::test {
namespace {

using namespace std::chrono_literals;

constexpr std::uint16_t peerPort = 7003; ///< same port for all processes, on different addresses
constexpr Milliseconds publishInterval{400};
constexpr Milliseconds settleTime{1500}; ///< between the start and the fault
constexpr std::chrono::seconds faultTime{8};
constexpr std::chrono::seconds startLimit{10};

class IgnoringObserver : public StateObserver
{
public:
    void onConfig(const RoutingConfig &) override { }
    void onBackends(const std::vector<BackendEntry> &) override { }
    void onBackendChanges(const std::vector<BackendChange> &) override { }
    void onMembers(const std::vector<FleetMember> &) override { }
    void onRegistryRecovery() override { }
};

/// A gateway process without callers, behind its own proxy to the store.
struct Process
{
    Process(boost::asio::io_context &context, boost::asio::io_context &proxyContext,
            TimerQueue &proxyTimers, const Endpoint &store, const FleetMember &self,
            const FreshnessLimits &limits)
        : timers(context)
        , proxy(proxyContext, proxyTimers, store)
        , feed(context, timers, metrics, proxy.endpoint(), self, state, limits.watchWait(),
               limits.backendWatchWait())
        , sharing(context, SharingOptions{self, {}, limits}, state, feed, metrics)
    { }

    TimerQueue timers;
    Metrics metrics;
    LoopbackProxy proxy;
    IgnoringObserver observer;
    FleetState state{observer};
    platform::PlatformFeed feed;
    StateSharing sharing;
};

/// What happens to the processes that watch the store.
enum class WatcherFault {
    StoreSilent, ///< the store stops answering them, and their connections to it stay open
    Hung ///< the processes stop, and the kernel keeps their connections open
};

struct DelayCase
{
    std::string name;
    std::size_t processes;
    Milliseconds updateLimit; ///< time within which a configuration must be in force
    WatcherFault fault;
};

class UpdateDelayTest : public testing::TestWithParam<DelayCase>
{
protected:
    void start()
    {
        publish();
        std::vector<FleetMember> members;
        for (std::size_t i = 0; i < GetParam().processes; ++i) {
            const std::string address = ownLoopbackAddress(static_cast<int>(i));
            members.push_back({"host-" + std::to_string(i),
                               {address, peerPort},
                               "zone-" + std::to_string(i % 3)});
        }
        for (const FleetMember &member : members) {
            DisseminationTree tree(member.name);
            tree.setMembers(members);
            const bool isWatcher = tree.isWatcher(Clock::now());
            auto process = std::make_unique<Process>(isWatcher ? m_watcherContext : m_context,
                                                     m_context, m_timers, m_store, member,
                                                     FreshnessLimits(GetParam().updateLimit));
            ASSERT_TRUE(isOk(process->sharing.start()));
            (isWatcher ? m_watchers : m_followers).push_back(std::move(process));
        }
    }
    void publish()
    {
        m_publishedAt.push_back(Clock::now());
        const boost::json::object config{{"version", m_publishedAt.size()},
                                         {"routes", boost::json::array{}},
                                         {"services", boost::json::array{}}};
        m_platform.data().overwrite("config", "main", config);
    }
    /// \brief Runs the processes until \a isDone or \a limit has passed; returns isDone().
    bool run(const std::function<bool()> &isDone, Duration limit)
    {
        for (const TimePoint end = Clock::now() + limit; Clock::now() < end && !isDone();) {
            m_context.poll();
            if (!m_isHung)
                m_watcherContext.poll();
            std::this_thread::sleep_for(1ms);
        }
        return isDone();
    }
    bool isFollowing() const
    {
        const auto isCurrent = [&](const auto &process) {
            return process->state.configVersion() == m_publishedAt.size()
                && process->state.members().size() == GetParam().processes;
        };
        return std::all_of(m_followers.begin(), m_followers.end(),
                           [&](const auto &process) {
                               return isCurrent(process) && !process->sharing.isWatching();
                           })
            && std::all_of(m_watchers.begin(), m_watchers.end(), isCurrent);
    }
    void inject(WatcherFault fault)
    {
        m_isHung = fault == WatcherFault::Hung;
        if (fault == WatcherFault::StoreSilent) {
            for (const auto &process : m_watchers)
                process->proxy.setMode(LoopbackProxy::Mode::SilencesReplies);
        }
    }
    /// \brief Time since the oldest configuration that a follower still lacks was published.
    Duration longestDelay(TimePoint now) const
    {
        Duration longest{0};
        for (const auto &process : m_followers) {
            const std::uint64_t version = process->state.configVersion();
            if (version < m_publishedAt.size())
                longest = std::max(longest, now - m_publishedAt[version]);
        }
        return longest;
    }

    boost::asio::io_context m_context;
    boost::asio::io_context m_watcherContext;
    TimerQueue m_timers{m_context};
    FakePlatform m_platform{m_context.get_executor()};
    const Endpoint m_store = valueOf(m_platform.listen({"127.0.0.1", 0}));
    std::vector<TimePoint> m_publishedAt; ///< of version 1 and up
    std::vector<std::unique_ptr<Process>> m_watchers; ///< processes that watch the store
    std::vector<std::unique_ptr<Process>> m_followers; ///< processes that poll others
    bool m_isHung = false;
};

// Guards against configurations that come late where the processes that watch the store fall
// silent without any connection being closed.
TEST_P(UpdateDelayTest, undisturbedProcessesApplyEachConfigurationInTime)
{
    start();
    ASSERT_TRUE(run([&] { return isFollowing(); }, startLimit));
    run([] { return false; }, settleTime);
    ASSERT_TRUE(isFollowing());
    inject(GetParam().fault);
    Duration longest{0};
    for (const TimePoint end = Clock::now() + faultTime; Clock::now() < end;) {
        publish();
        const TimePoint next = Clock::now() + publishInterval;
        run(
            [&] {
                longest = std::max(longest, longestDelay(Clock::now()));
                return Clock::now() >= next;
            },
            publishInterval);
    }
    EXPECT_LE(std::chrono::duration_cast<Milliseconds>(longest), GetParam().updateLimit);
}

INSTANTIATE_TEST_SUITE_P(
    Watchers, UpdateDelayTest,
    testing::Values(DelayCase{"storeSilentInSmallFleet", 6, 3000ms, WatcherFault::StoreSilent},
                    DelayCase{"hungInSmallFleet", 6, 3000ms, WatcherFault::Hung},
                    DelayCase{"storeSilentInLargeFleet", 20, 5000ms, WatcherFault::StoreSilent},
                    DelayCase{"hungInLargeFleet", 20, 5000ms, WatcherFault::Hung},
                    DelayCase{"hungInLargeFleetWithShortLimit", 20, 3000ms, WatcherFault::Hung}),
    [](const auto &info) { return info.param.name; });

} // namespace
} // namespace gwt::test
