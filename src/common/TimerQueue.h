#pragma once

#include "common/Timer.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace gwt {

/// \brief Multiplexes many timers of one event loop onto a single system timer.
///
/// Not thread-safe: use it only on the thread that runs the I/O context.
class TimerQueue
{
public:
    using Action = std::function<void()>;

    /// \brief Identifies a pending timer; a default-constructed id identifies none.
    struct Id
    {
        TimePoint due;
        std::uint64_t number = 0;

        auto operator<=>(const Id &) const = default;
    };

    explicit TimerQueue(boost::asio::io_context &context);

    /// \brief Schedules \a action to run once, at \a due or shortly after.
    Id at(TimePoint due, Action action);
    Id after(Duration delay, Action action) { return at(Clock::now() + delay, std::move(action)); }
    /// \brief Removes the timer \a id if it is still pending, and resets \a id.
    void cancel(Id &id);
    /// \brief Sets \a handler, called before each run of timers with the time it was scheduled for.
    void onRun(std::function<void(TimePoint)> handler) { m_runHandler = std::move(handler); }

private:
    /// A run includes timers due within this time from now, as a wake-up costs more than that.
    static constexpr Duration s_slack = Microseconds(300);
    /// Bounds the delay after a suspension of the host until timers that expired during it run.
    static constexpr Duration s_longestSleep = std::chrono::seconds(1);

    void arm();
    void runDue();

    Timer m_timer;
    std::map<Id, Action> m_pending;
    std::function<void(TimePoint)> m_runHandler;
    TimePoint m_armedFor = TimePoint::max();
    std::uint64_t m_lastNumber = 0;
};

} // namespace gwt
