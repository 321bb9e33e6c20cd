#pragma once

#include "common/Timer.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace gwt {

/// \brief Many timers of one event loop that share a single system timer.
///
/// Not thread-safe: used on the thread that runs the I/O context.
class TimerQueue
{
public:
    using Action = std::function<void()>;

    /// \brief Names a pending timer; the default value names none.
    struct Id
    {
        TimePoint due;
        std::uint64_t number = 0;

        auto operator<=>(const Id &) const = default;
    };

    explicit TimerQueue(boost::asio::io_context &context);

    /// \brief Runs \a action once at \a due or soon after.
    Id at(TimePoint due, Action action);
    Id after(Duration delay, Action action) { return at(Clock::now() + delay, std::move(action)); }
    /// \brief Forgets the timer of \a id, if it is still pending, and resets \a id.
    void cancel(Id &id);
    /// \brief \a handler runs before timers that were due at its argument.
    void onRun(std::function<void(TimePoint)> handler) { m_runHandler = std::move(handler); }

private:
    /// Timers that are due within this time run together; one wake-up costs more than it.
    static constexpr Duration s_slack = Microseconds(300);
    /// Timers that came due during a suspension of the host run at most this long after it.
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
