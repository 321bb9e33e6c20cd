#pragma once

#include "common/WorkerPool.h"

#include <boost/asio/post.hpp>

#include <atomic>
#include <condition_variable>
#include <mutex>

namespace gwt {

/// \brief Single thread of a daemon under test that can be frozen between two handlers.
///
/// As under SIGSTOP, the sockets stay open and the timers go on.
class FreezablePool
{
public:
    ~FreezablePool() { stop(); }

    Executor executor() { return m_pool.executor(); }
    WorkerPool &workers() { return m_pool; }

    /// \brief Freezes the thread; returns once no handler runs.
    void freeze()
    {
        m_isFrozen = true;
        asio::post(m_pool.executor(), [this] {
            std::unique_lock lock(m_mutex);
            m_isPaused = true;
            m_stateChanged.notify_all();
            m_stateChanged.wait(lock, [this] { return !m_isFrozen; });
            m_isPaused = false;
        });
        std::unique_lock lock(m_mutex);
        m_stateChanged.wait(lock, [this] { return m_isPaused; });
    }

    void resume()
    {
        const std::lock_guard lock(m_mutex);
        m_isFrozen = false;
        m_stateChanged.notify_all();
    }

    /// \brief Ends the thread between two handlers; suspended work is never resumed.
    void stop()
    {
        resume();
        m_pool.stop();
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_stateChanged;
    std::atomic<bool> m_isFrozen = false;
    bool m_isPaused = false;
    WorkerPool m_pool{1};
};

} // namespace gwt
