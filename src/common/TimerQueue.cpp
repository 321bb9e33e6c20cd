#include "common/TimerQueue.h"

#include <algorithm>

namespace gwt {

TimerQueue::TimerQueue(boost::asio::io_context &context)
    : m_timer(context)
{ }

TimerQueue::Id TimerQueue::at(TimePoint due, Action action)
{
    const Id id{due, ++m_lastNumber};
    m_pending.emplace(id, std::move(action));
    arm();
    return id;
}

void TimerQueue::cancel(Id &id)
{
    // The system timer stays armed: a spurious wake-up is cheaper than rearming it on each call.
    if (id.number != 0)
        m_pending.erase(id);
    id = {};
}

void TimerQueue::arm()
{
    if (m_pending.empty() || m_pending.begin()->first.due >= m_armedFor)
        return;
    m_armedFor = std::min(m_pending.begin()->first.due, Clock::now() + s_longestSleep);
    m_timer.expires_at(m_armedFor);
    m_timer.async_wait([this](const boost::system::error_code &failure) {
        if (!failure)
            runDue();
    });
}

void TimerQueue::runDue()
{
    const TimePoint due = std::exchange(m_armedFor, TimePoint::max());
    if (m_runHandler)
        m_runHandler(due);
    const TimePoint limit = Clock::now() + s_slack;
    while (!m_pending.empty() && m_pending.begin()->first.due <= limit) {
        auto timer = m_pending.extract(m_pending.begin());
        timer.mapped()();
    }
    arm();
}

} // namespace gwt
