#include "common/WorkerPool.h"

#include "common/Assert.h"

namespace gwt {

WorkerPool::WorkerPool(int workers)
    : m_context(workers)
    , m_guard(m_context.get_executor())
{
    GWT_ASSERT(workers > 0, "a pool has at least one worker");
    m_threads.reserve(static_cast<std::size_t>(workers));
    for (int i = 0; i < workers; ++i)
        m_threads.emplace_back([this] { m_context.run(); });
}

WorkerPool::~WorkerPool()
{
    stop();
}

void WorkerPool::stop()
{
    m_guard.reset();
    m_context.stop();
    for (std::thread &thread : m_threads) {
        if (thread.joinable())
            thread.join();
    }
}

} // namespace gwt
