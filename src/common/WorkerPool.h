#pragma once

#include "common/Task.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <thread>
#include <vector>

namespace gwt {

/// \brief A pool of worker threads that all run one I/O context.
class WorkerPool
{
public:
    explicit WorkerPool(int workers);
    ~WorkerPool();

    Executor executor() { return m_context.get_executor(); }
    /// \brief Returns a new executor that runs its work sequentially.
    Executor strand() { return asio::make_strand(m_context); }

    /// \brief Stops all work and joins the threads; idempotent. Must not be called from a worker.
    void stop();

private:
    asio::io_context m_context;
    asio::executor_work_guard<asio::io_context::executor_type> m_guard;
    std::vector<std::thread> m_threads;
};

} // namespace gwt
