#pragma once

#include "common/Sleep.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <optional>

namespace gwt {

/// \brief Points in the steps of a booking at which a fault can be injected.
enum class FaultPoint {
    BeforeAcquire, ///< the update that acquires the range
    AfterAcquire,
    BeforeReserve, ///< the relay has received the request and not processed it
    AfterReserve, ///< the relay has processed the request and not replied
    BeforeSent, ///< the update that records "sent"
    AfterSent,
    BeforeExecute,
    AfterExecute, ///< the backend server has run it, the relay has not replied
    BeforeResult, ///< the update that records the outcome
    AfterResult,
    BeforeRelease, ///< the update that releases the range
    AfterRelease
};

/// \brief Suspends the first task that reaches the armed point, until release(). Thread-safe.
class TaskBreakpoint
{
public:
    void arm(FaultPoint point)
    {
        const std::lock_guard lock(m_mutex);
        m_armed = point;
    }

    /// \brief Called by a task at \a point; true if the reply of its last operation must be lost.
    Task<bool> reach(FaultPoint point)
    {
        {
            const std::lock_guard lock(m_mutex);
            if (m_armed != point)
                co_return false;
            m_armed.reset();
            m_isReached = true;
            m_change.notify_all();
        }
        while (m_isBlocking)
            co_await sleepFor(Milliseconds(1));
        co_return m_losesReply;
    }

    bool waitUntilReached(Milliseconds timeout)
    {
        std::unique_lock lock(m_mutex);
        return m_change.wait_for(lock, timeout, [this] { return m_isReached; });
    }

    void loseReply() { m_losesReply = true; }
    void release() { m_isBlocking = false; }

private:
    std::mutex m_mutex;
    std::condition_variable m_change;
    std::optional<FaultPoint> m_armed;
    bool m_isReached = false;
    std::atomic<bool> m_isBlocking = true;
    std::atomic<bool> m_losesReply = false;
};

} // namespace gwt
